/** Parses the body of a request to an engine: one JSON object that can be forwarded. */
import { Buffer } from "node:buffer";

/** Deepest nesting accepted: `JSON.stringify`, which serializes the forwarded body, is recursive. */
const MAX_DEPTH = 128;

/** Returns the object, or undefined if the body is not a valid JSON object. */
export function parseJsonObject(
  body: unknown,
): Record<string, unknown> | undefined {
  if (!Buffer.isBuffer(body)) return undefined;
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(body);
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    if (!isObject || !isWithinDepth(value, MAX_DEPTH)) return undefined;
    return value as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

function isWithinDepth(value: unknown, depth: number): boolean {
  if (typeof value !== "object" || value === null) return true;
  if (depth === 0) return false;
  return Object.values(value).every((field) => isWithinDepth(field, depth - 1));
}
