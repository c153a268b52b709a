/**
 * Builds the tables from their YAML files. Any file may hold rows of
 * `customers`, `routes` and `pools`; all files together form one revision.
 */
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results-es";
import type { TablesStructure } from "../core/structures.ts";
import { checkTables, MAX_TABLE_BYTES } from "../core/tables/table_schema.ts";
import { type FileFault, parseYaml, type YamlFile } from "./yaml_file.ts";

export type YamlResult = ReturnType<typeof parseYaml>;

export interface TableFile {
  name: string;
  text: string;
}

/** An error in the tables: its file, line and path, what was expected and what was found. */
export interface TableFileFault {
  file: string;
  line: number;
  path: string;
  expected: string;
  found: string;
}

const SECTIONS = ["customers", "routes", "pools"] as const;
type Section = (typeof SECTIONS)[number];

/** The file and index from which a row of the merged tables came. */
interface RowOrigin {
  fileName: string;
  file: YamlFile;
  index: number;
}

/** Parses the text of one file; fails if it exceeds MAX_TABLE_BYTES. */
export function parseTableText(text: string): Result<YamlFile, FileFault[]> {
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAX_TABLE_BYTES) return parseYaml(text);
  return Err([{
    line: 1,
    path: "",
    expected: `at most ${MAX_TABLE_BYTES} bytes`,
    found: `${bytes} bytes`,
  }]);
}

/**
 * Builds the tables of one revision.
 * @param parseText Parses the text of a file; defaults to the YAML parser.
 */
export function parseTables(
  files: readonly TableFile[],
  revision: number,
  parseText: (file: TableFile) => YamlResult = ({ text }) =>
    parseTableText(text),
): Result<TablesStructure, TableFileFault[]> {
  const faults: TableFileFault[] = [];
  const rows: Record<Section, unknown[]> = {
    customers: [],
    routes: [],
    pools: [],
  };
  const origins: Record<Section, RowOrigin[]> = {
    customers: [],
    routes: [],
    pools: [],
  };
  for (const tableFile of files) {
    const { name } = tableFile;
    const parsed = parseText(tableFile);
    if (parsed.isErr()) {
      faults.push(...parsed.error.map((fault) => ({ file: name, ...fault })));
      continue;
    }
    const file = parsed.value;
    faults.push(...addRows(name, file, rows, origins));
  }
  if (faults.length > 0) return Err(faults);
  const checked = checkTables({ revision, ...rows });
  if (checked.isOk()) return Ok(checked.value);
  return Err(checked.error.map((fault) => locateFault(fault, origins)));
}

function addRows(
  name: string,
  file: YamlFile,
  rows: Record<Section, unknown[]>,
  origins: Record<Section, RowOrigin[]>,
): TableFileFault[] {
  const { value } = file;
  if (value === null || value === undefined) return [];
  if (typeof value !== "object" || Array.isArray(value)) {
    return [{
      file: name,
      line: 1,
      path: "",
      expected: `a mapping with ${SECTIONS.join(", ")}`,
      found: JSON.stringify(value).slice(0, 120),
    }];
  }
  const faults: TableFileFault[] = [];
  for (const [key, section] of Object.entries(value)) {
    if (!isSection(key)) {
      faults.push({
        file: name,
        line: file.getLine([key]),
        path: key,
        expected: `one of ${SECTIONS.join(", ")}`,
        found: key,
      });
      continue;
    }
    if (!Array.isArray(section)) {
      faults.push({
        file: name,
        line: file.getLine([key]),
        path: key,
        expected: "a list of rows",
        found: JSON.stringify(section).slice(0, 120),
      });
      continue;
    }
    for (const [index, row] of section.entries()) {
      rows[key].push(row);
      origins[key].push({ fileName: name, file, index });
    }
  }
  return faults;
}

function isSection(key: string): key is Section {
  return (SECTIONS as readonly string[]).includes(key);
}

function locateFault(
  fault: { path: (string | number)[]; expected: string; found: string },
  origins: Record<Section, RowOrigin[]>,
): TableFileFault {
  const { expected, found } = fault;
  const [section, row, ...rest] = fault.path;
  const origin = typeof section === "string" && isSection(section) &&
      typeof row === "number"
    ? origins[section][row]
    : undefined;
  if (!origin || section === undefined) {
    return { file: "", line: 1, path: fault.path.join("."), expected, found };
  }
  const path = [section, origin.index, ...rest];
  return {
    file: origin.fileName,
    line: origin.file.getLine(path),
    path: path.join("."),
    expected,
    found,
  };
}
