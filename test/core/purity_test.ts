/**
 * Checks that the core stays deterministic: it imports only itself, its state
 * charts and libraries without I/O, reads no clock and uses no random source.
 */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listFiles } from "../../scripts/list_files.ts";

const ALLOWED_PACKAGES = new Set([
  "node:buffer",
  "node:crypto",
  "ts-results-es",
  "xxhash-wasm",
  "zod",
  "pure-rand",
]);
const FORBIDDEN =
  /Date\.now|new Date\(|performance\.|process\.[a-z]|setTimeout|setInterval|Math\.random|randomUUID|randomBytes/;

for (const file of listFiles("src/core")) {
  test(`${file} imports only the core and allowed packages`, () => {
    const text = readFileSync(file, "utf8");
    for (const [, target] of text.matchAll(/from "([^"]+)"/g)) {
      const isInside = target?.startsWith(".")
        ? !/\.\.\/(daemon|protocol|settings|cli)\//.test(target)
        : ALLOWED_PACKAGES.has(target ?? "");
      assert.ok(isInside, `${file} imports ${target}`);
    }
  });

  test(`${file} reads no clock and uses no random source`, () => {
    const match = FORBIDDEN.exec(readFileSync(file, "utf8"));
    assert.is(match, null, `${file} uses ${match?.[0]}`);
  });
}

test.run();
