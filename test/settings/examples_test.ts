/** The example files are valid and show every key of the settings with its default. */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parse } from "yaml";
import { DEFAULT_CORE_SETTINGS } from "../../src/core/core_settings.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
} from "../../src/settings/daemon_settings.ts";
import { parseTables } from "../../src/settings/table_files.ts";
import { parseYamlAs } from "../../src/settings/yaml_file.ts";

const EXAMPLE = readFileSync("examples/settings/pistachiohatchd.yaml", "utf8");
const OPERATORS_PAGE = readFileSync("docs/OPERATORS.md", "utf8");

/** Keys without a default, for which the examples show a sample value. */
const KEYS_WITHOUT_DEFAULT = [
  "peers.tls.authorityFile",
  "peers.tls.certificateFile",
  "peers.tls.keyFile",
  "metrics.address",
];

function loadExample(text: string): DaemonSettings {
  const settings = parseYamlAs(text, daemonSettingsSchema);
  assert.ok(settings.isOk(), JSON.stringify(settings));
  return settings.unwrap();
}

/** Uncomments the lines that show a setting. */
function uncomment(text: string): string {
  return text.replace(/^( *)# ( *(?:- )?[a-zA-Z]+:(?: \S+)?)$/gm, "$1$2");
}

function listKeys(value: unknown, prefix = ""): Map<string, unknown> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return new Map([[prefix, value]]);
  }
  return new Map(
    Object.entries(value).flatMap(([key, field]) => [
      ...listKeys(field, prefix === "" ? key : `${prefix}.${key}`),
    ]),
  );
}

const loaded = loadExample(EXAMPLE);
const defaults = listKeys(loaded);

test("the example shows every key of the settings with its default", () => {
  const shown = listKeys(parse(uncomment(EXAMPLE)));
  loadExample(uncomment(EXAMPLE));
  for (const [key, value] of shown) {
    if (KEYS_WITHOUT_DEFAULT.includes(key) || key === "peers.seed") continue;
    assert.equal(value, defaults.get(key), key);
  }
  const expected = [...defaults.keys(), ...KEYS_WITHOUT_DEFAULT].sort();
  assert.equal([...shown.keys()].sort(), expected);
  assert.equal(loaded.core, DEFAULT_CORE_SETTINGS);
});

test("the operators' page lists every key with its default", () => {
  const rows = [...OPERATORS_PAGE.matchAll(
    /^\| `([A-Za-z.]+)` +\| ([^|]*)\| ([^|]*)\|/gm,
  )].map((match) => [match[1] ?? "", (match[3] ?? "").trim()] as const);
  const documented = new Map(rows);
  for (const [key, value] of defaults) {
    const text = documented.get(key);
    assert.ok(text !== undefined, `${key} is not on the page`);
    const isGiven = text === "must be given";
    if (!isGiven) assert.is(text, formatDefault(value), key);
  }
  for (const key of KEYS_WITHOUT_DEFAULT) {
    assert.is(documented.get(key), "none", key);
  }
});

function formatDefault(value: unknown): string {
  if (Array.isArray(value)) return "none";
  return `\`${String(value)}\``;
}

test("the example tables form a valid revision", () => {
  const files = ["pools", "routes"].map((name) => ({
    name,
    text: readFileSync(`examples/tables/${name}.yaml`, "utf8"),
  }));
  const tables = parseTables(files, 1);
  assert.ok(tables.isOk(), JSON.stringify(tables));
});

interface FaultRow {
  fault: string;
  change: [string, string];
  path: string;
  expected: RegExp;
}

const FAULT_ROWS: FaultRow[] = [
  {
    fault: "a host name in place of an IP address",
    change: ["listen: 127.0.0.1:7901", "listen: entry-1:7901"],
    path: "callers.listen",
    expected: /^an IP address and a port$/,
  },
  {
    fault: "an unknown key",
    change: ["# logLevel: info", "colour: red"],
    path: "",
    expected: /^no key named colour$/,
  },
  {
    fault: "text in place of a number",
    change: ["# tickIntervalMs: 20", "tickIntervalMs: soon"],
    path: "tickIntervalMs",
    expected: /^a number$/,
  },
  {
    fault: "an unknown log level",
    change: ["# logLevel: info", "logLevel: loud"],
    path: "logLevel",
    expected: /^one of trace, debug/,
  },
  {
    fault: "a number that is not positive",
    change: ["# tickIntervalMs: 20", "tickIntervalMs: 0"],
    path: "tickIntervalMs",
    expected: /^number to be >0$/,
  },
];

for (const row of FAULT_ROWS) {
  test(`rejects settings with ${row.fault}`, () => {
    const text = EXAMPLE.replace(...row.change);
    const settings = parseYamlAs(text, daemonSettingsSchema);
    assert.ok(settings.isErr());
    const [fault] = settings.isErr() ? settings.error : [];
    assert.is(fault?.path, row.path);
    assert.match(fault?.expected ?? "", row.expected);
    const lines = text.split("\n");
    const isAtLine = row.path === "" || lines[(fault?.line ?? 0) - 1]
      ?.includes(row.path.split(".").at(-1) ?? "");
    assert.ok(isAtLine, `line ${fault?.line}`);
  });
}

test.run();
