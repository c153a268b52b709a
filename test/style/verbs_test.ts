/**
 * Checks that the name of each function and method begins with a verb listed in
 * docs/VERBS.md.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";

const FOLDERS = ["src", "platform", "fakes", "bench", "scripts"];
const GENERATED_FOLDER = "src/protocol/generated";
const FUNCTION_PATTERN =
  /^ *(?:export )?(?:default )?(?:async )?function\*? (\w+)/gm;
const ARROW_FUNCTION_PATTERN =
  /(?:const|let|readonly) #?(\w+) = (?:async )?(?:\([^()]*\)(?:: [^=;]+)?|\w+) =>/g;
const TYPE_HEAD_PATTERN =
  /^(?:export )?(?:default )?(?:abstract )?(?:class|interface) /;
const METHOD_PATTERN =
  /^ {2}(?:(?:static|async|override|abstract|protected|public|private) )*\*?#?([a-z]\w*)\??(?:<.*>)?\(/;

const verbs = new Set(
  [...readFileSync("docs/VERBS.md", "utf8").matchAll(/`([a-z]+)`/g)]
    .map((match) => match[1]),
);

function listSources(folder: string): string[] {
  if (!existsSync(folder) || folder === GENERATED_FOLDER) return [];
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return path.endsWith(".ts") ? [path] : [];
  });
}

function listMethods(text: string): string[] {
  const names: string[] = [];
  let isInType = false;
  for (const line of text.split("\n")) {
    if (TYPE_HEAD_PATTERN.test(line)) isInType = true;
    else if (line.startsWith("}")) isInType = false;
    const name = isInType ? METHOD_PATTERN.exec(line)?.[1] : undefined;
    if (name !== undefined && name !== "constructor") names.push(name);
  }
  return names;
}

function listFunctions(text: string): string[] {
  return [FUNCTION_PATTERN, ARROW_FUNCTION_PATTERN].flatMap((pattern) =>
    [...text.matchAll(pattern)].map((match) => match[1] ?? "")
  );
}

for (const file of FOLDERS.flatMap(listSources)) {
  test(`function names in ${file} begin with listed verbs`, () => {
    const text = readFileSync(file, "utf8");
    const unlisted = [...listFunctions(text), ...listMethods(text)]
      .filter((name) => !verbs.has(/^[a-z]+/.exec(name)?.[0]));
    assert.equal(unlisted, [], `${file}: verbs not in docs/VERBS.md`);
  });
}

test("the check finds functions, arrow functions and methods", () => {
  const text = [
    "export async function frobnicate(): void {}",
    "const twiddle = (value: number): number =>",
    "class Thing {",
    "  async #wobble(",
    "  get size(): number {",
    "  constructor() {",
    "}",
  ].join("\n");
  assert.equal(listFunctions(text), ["frobnicate", "twiddle"]);
  assert.equal(listMethods(text), ["wobble"]);
});

test.run();
