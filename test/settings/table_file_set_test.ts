import { test } from "uvu";
import * as assert from "uvu/assert";
import { stringify } from "yaml";
import { TableFileSet } from "../../src/settings/table_file_set.ts";

function createFile(name: string, routes: Record<string, string>) {
  const rows = Object.entries(routes)
    .map(([route, version]) => ({ name: route, version }));
  return { name, text: stringify({ routes: rows }) };
}

function createSet(): TableFileSet {
  const set = new TableFileSet();
  set.setBaseline([
    createFile("one", { a: "v1", b: "v1" }),
    createFile("two", { c: "v1" }),
  ], 2);
  return set;
}

test("finds changed, added and removed rows, and ignores a move to another file", () => {
  const delta = createSet().findDelta([
    createFile("one", { a: "v2" }),
    createFile("three", { c: "v1", d: "v1" }),
  ], 3);
  assert.is(delta?.fromRevision, 2);
  assert.equal(delta?.routes.map((route) => route.name), ["a", "d"]);
  assert.equal(delta?.removedRoutes, ["b"]);
});

const FILES_WITHOUT_DELTA: [string, { name: string; text: string }][] = [
  [
    "a name that occurs in another file",
    createFile("one", { a: "v1", c: "v2" }),
  ],
  ["invalid YAML", { name: "one", text: "routes: [" }],
  ["an unknown section", { name: "one", text: "paths: []" }],
  ["a row without a name", { name: "one", text: "routes: [{}]" }],
  ["a duplicate name", {
    name: "one",
    text: "routes: [{name: a}, {name: a}]",
  }],
];

for (const [what, file] of FILES_WITHOUT_DELTA) {
  test(`returns no delta for a file with ${what}`, () => {
    const files = [file, createFile("two", { c: "v1" })];
    assert.is(createSet().findDelta(files, 3), undefined);
  });
}

test("returns no delta for a file over a megabyte", () => {
  const { name, text } = createFile("one", { a: "v2" });
  const large = { name, text: `${text}#${"x".repeat(1_048_576)}` };
  assert.is(createSet().findDelta([large], 3), undefined);
});

test("returns no delta for a revision that is not newer", () => {
  for (const revision of [1, 2]) {
    const files = [createFile("one", { a: "v2" })];
    assert.is(createSet().findDelta(files, revision), undefined);
  }
});

test("parses only files whose text has changed", () => {
  const set = createSet();
  assert.is(set.parseFile(createFile("two", { c: "v1" })), false);
  assert.is(set.parseFile(createFile("two", { c: "v2" })), true);
});

test.run();
