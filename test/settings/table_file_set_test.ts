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

test("finds the rows that were changed, added, moved and removed", () => {
  const delta = createSet().findDelta([
    createFile("one", { a: "v2" }),
    createFile("three", { c: "v1", d: "v1" }),
  ], 3);
  assert.is(delta?.fromRevision, 2);
  assert.equal(delta?.routes.map((route) => route.name), ["a", "d"]);
  assert.equal(delta?.removedRoutes, ["b"]);
});

const FILES_WITHOUT_DELTA: [string, { name: string; text: string }][] = [
  ["a name that another file has", createFile("one", { a: "v1", c: "v2" })],
  ["text that is no YAML", { name: "one", text: "routes: [" }],
  ["an unknown section", { name: "one", text: "paths: []" }],
  ["rows without names", { name: "one", text: "routes: [{}]" }],
  ["a name twice", {
    name: "one",
    text: "routes: [{name: a}, {name: a}]",
  }],
];

for (const [what, file] of FILES_WITHOUT_DELTA) {
  test(`leaves files with ${what} to the check of the whole`, () => {
    const files = [file, createFile("two", { c: "v1" })];
    assert.is(createSet().findDelta(files, 3), undefined);
  });
}

test("leaves a file over a megabyte to the check of the whole", () => {
  const { name, text } = createFile("one", { a: "v2" });
  const large = { name, text: `${text}#${"x".repeat(1_048_576)}` };
  assert.is(createSet().findDelta([large], 3), undefined);
});

test("finds nothing in a revision that is no later", () => {
  for (const revision of [1, 2]) {
    const files = [createFile("one", { a: "v2" })];
    assert.is(createSet().findDelta(files, revision), undefined);
  }
});

test("parses only what has changed", () => {
  const set = createSet();
  assert.is(set.parseFile(createFile("two", { c: "v1" })), false);
  assert.is(set.parseFile(createFile("two", { c: "v2" })), true);
});

test.run();
