/**
 * Caches parsed table files: parses only those whose text has changed and finds
 * the rows that changed, so that a small edit of large tables is cheap.
 */
import type { Result } from "ts-results-es";
import type { TablesDelta } from "../core/messages.ts";
import type { TablesStructure } from "../core/structures.ts";
import {
  parseTables,
  parseTableText,
  type TableFile,
  type TableFileFault,
  type YamlResult,
} from "./table_files.ts";

const SECTIONS = ["customers", "routes", "pools"] as const;
type Section = (typeof SECTIONS)[number];

interface ParsedFile {
  text: string;
  parsed: YamlResult;
}

/** Rows by section and name. */
type NamedRows = Record<Section, Map<string, unknown>>;

export class TableFileSet {
  readonly #parsedByName = new Map<string, ParsedFile>();
  #baseline: { revision: number; files: Map<string, ParsedFile> } | undefined;

  /** Parses the file unless its text is cached; returns whether it was parsed. */
  parseFile({ name, text }: TableFile): boolean {
    if (this.#parsedByName.get(name)?.text === text) return false;
    this.#parsedByName.set(name, { text, parsed: parseTableText(text) });
    return true;
  }

  parseTables(
    files: readonly TableFile[],
    revision: number,
  ): Result<TablesStructure, TableFileFault[]> {
    return parseTables(files, revision, (file) => this.#getParsed(file).parsed);
  }

  /**
   * Sets the files of the accepted revision, against which deltas are computed;
   * drops all others from the cache.
   */
  setBaseline(files: readonly TableFile[], revision: number): void {
    const parsed = files.map((file): [string, ParsedFile] => [
      file.name,
      this.#getParsed(file),
    ]);
    this.#baseline = { revision, files: new Map(parsed) };
    for (const name of [...this.#parsedByName.keys()]) {
      if (!this.#baseline.files.has(name)) this.#parsedByName.delete(name);
    }
  }

  /**
   * Returns the rows that differ from the baseline, not yet validated. Returns
   * undefined if there is no baseline, the revision is not newer than the
   * baseline's, a file has errors, or a name occurs twice.
   */
  findDelta(
    files: readonly TableFile[],
    revision: number,
  ): TablesDelta | undefined {
    if (!this.#baseline || revision <= this.#baseline.revision) {
      return undefined;
    }
    const names = new Set(files.map((file) => file.name));
    const before: ParsedFile[] = [];
    const after: ParsedFile[] = [];
    const unchanged: ParsedFile[] = [];
    for (const file of files) {
      const parsed = this.#getParsed(file);
      const known = this.#baseline.files.get(file.name);
      if (known === parsed) unchanged.push(parsed);
      else {
        after.push(parsed);
        if (known) before.push(known);
      }
    }
    for (const [name, file] of this.#baseline.files) {
      if (!names.has(name)) before.push(file);
    }
    const oldRows = listRows(before);
    const newRows = listRows(after);
    if (!oldRows || !newRows || hasAnyName(unchanged, newRows)) {
      return undefined;
    }
    return buildDelta(this.#baseline.revision, revision, oldRows, newRows);
  }

  #getParsed(file: TableFile): ParsedFile {
    this.parseFile(file);
    const parsed = this.#parsedByName.get(file.name);
    if (parsed) return parsed;
    throw new Error(`Expected ${file.name} to be parsed, found it missing`);
  }
}

function buildDelta(
  fromRevision: number,
  toRevision: number,
  oldRows: NamedRows,
  newRows: NamedRows,
): TablesDelta {
  const findChanged = (section: Section): unknown[] =>
    [...newRows[section]].filter(([name, row]) => {
      const known = oldRows[section].get(name);
      return known === undefined ||
        JSON.stringify(known) !== JSON.stringify(row);
    }).map(([, row]) => row);
  const findRemoved = (section: Section): string[] =>
    [...oldRows[section].keys()].filter((name) => !newRows[section].has(name));
  return {
    fromRevision,
    toRevision,
    digest: "",
    customers: findChanged("customers") as TablesDelta["customers"],
    routes: findChanged("routes") as TablesDelta["routes"],
    pools: findChanged("pools") as TablesDelta["pools"],
    removedCustomers: findRemoved("customers"),
    removedRoutes: findRemoved("routes"),
    removedPools: findRemoved("pools"),
  };
}

/**
 * Returns the rows of the files by name; undefined if a file or row is malformed
 * or a name occurs twice.
 */
function listRows(files: readonly ParsedFile[]): NamedRows | undefined {
  const rows: NamedRows = {
    customers: new Map(),
    routes: new Map(),
    pools: new Map(),
  };
  for (const { parsed } of files) {
    if (parsed.isErr()) return undefined;
    const value = (parsed.value.value ?? {}) as Record<string, unknown>;
    for (const [section, list] of Object.entries(value)) {
      if (!isSection(section) || !Array.isArray(list)) return undefined;
      for (const row of list) {
        const name = (row as { name?: unknown } | null)?.name;
        if (typeof name !== "string") return undefined;
        if (rows[section].has(name)) return undefined;
        rows[section].set(name, row);
      }
    }
  }
  return rows;
}

/**
 * Returns whether the name of any of the rows also occurs in one of the files;
 * true if a file has errors.
 */
function hasAnyName(files: readonly ParsedFile[], rows: NamedRows): boolean {
  return files.some(({ parsed }) => {
    if (parsed.isErr()) return true;
    const value = (parsed.value.value ?? {}) as Record<
      Section,
      { name: string }[] | undefined
    >;
    return SECTIONS.some((section) =>
      rows[section].size > 0 &&
      value[section]?.some((row) => rows[section].has(row.name))
    );
  });
}

function isSection(key: string): key is Section {
  return (SECTIONS as readonly string[]).includes(key);
}
