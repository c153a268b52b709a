/** Parses and validates YAML, and locates errors by line. */
import { Err, Ok, type Result } from "ts-results-es";
import { isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { describeExpected } from "../core/tables/schema_issue.ts";

/** An error in a file: its position, what was expected and what was found. */
export interface FileFault {
  line: number;
  path: string;
  expected: string;
  found: string;
}

/** A parsed YAML text. */
export interface YamlFile {
  value: unknown;
  /** Returns the line of the value at the path, or of its closest ancestor. */
  getLine: (path: readonly (string | number)[]) => number;
}

export function parseYaml(text: string): Result<YamlFile, FileFault[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    return Err(document.errors.map((error) => ({
      line: lineCounter.linePos(error.pos[0]).line,
      path: "",
      expected: "well-formed YAML",
      found: error.message.split("\n")[0] ?? "",
    })));
  }
  const getLine = (path: readonly (string | number)[]): number => {
    for (let length = path.length; length >= 0; length -= 1) {
      const node = document.getIn(path.slice(0, length), true);
      const offset = isNode(node) ? node.range?.[0] : undefined;
      if (offset !== undefined) return lineCounter.linePos(offset).line;
    }
    return 1;
  };
  try {
    return Ok({ value: document.toJS(), getLine });
  } catch (error) {
    // The parser rejects aliases that expand beyond its limit.
    return Err([{
      line: 1,
      path: "",
      expected: "aliases that expand within the parser's limit",
      found: error instanceof Error ? error.message : String(error),
    }]);
  }
}

/** Parses a YAML text and validates it against a schema. */
export function parseYamlAs<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, FileFault[]> {
  const parsed = parseYaml(text);
  if (parsed.isErr()) return parsed;
  const file = parsed.value;
  const checked = schema.safeParse(file.value);
  if (checked.success) return Ok(checked.data);
  return Err(checked.error.issues.map((issue) => {
    const path = issue.path.map((part) =>
      typeof part === "symbol" ? String(part) : part
    );
    return {
      line: file.getLine(path),
      path: path.join("."),
      expected: describeExpected(issue),
      found: describeValueAt(file.value, path),
    };
  }));
}

function describeValueAt(
  value: unknown,
  path: readonly (string | number)[],
): string {
  let current = value;
  for (const part of path) {
    if (typeof current !== "object" || current === null) return "nothing";
    current = (current as Record<string | number, unknown>)[part];
  }
  return current === undefined
    ? "nothing"
    : JSON.stringify(current).slice(0, 120);
}
