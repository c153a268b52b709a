/**
 * Checks that the name of each function and method begins with a verb listed in
 * docs/VERBS.md.
 */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listSourceFiles } from "../../scripts/list_files.ts";

const FOLDERS = ["src", "platform", "fakes", "bench", "scripts"];
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

for (const file of FOLDERS.flatMap(listSourceFiles)) {
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
