/** Lists files for checks of the sources and for the test runner. */
import { readdirSync } from "node:fs";
import { join } from "node:path";

const GENERATED_FOLDER = "src/protocol/generated";

/** Returns the paths of all files in the folder and the folders below it. */
export function listFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? listFiles(path) : [path];
  });
}

/** Returns the paths of the TypeScript files below the folder, without generated ones. */
export function listSourceFiles(folder: string): string[] {
  return listFiles(folder).filter((path) =>
    path.endsWith(".ts") && !path.startsWith(`${GENERATED_FOLDER}/`)
  );
}
