/**
 * Describes the value that a schema expected, for messages that give the
 * expected and the found value.
 */
import type { z } from "zod";

/** Returns a description of the value that was expected at the issue's path. */
export function describeExpected(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "unrecognized_keys":
      return `no key named ${issue.keys.join(", ")}`;
    case "invalid_type":
      return describeType(issue.expected);
    case "invalid_value":
      return `one of ${issue.values.map(String).join(", ")}`;
    default:
      return stripPrefix(issue.message);
  }
}

function describeType(type: string): string {
  switch (type) {
    case "object":
      return "a mapping";
    case "array":
      return "a list";
    case "int":
      return "a whole number";
    default:
      return `a ${type}`;
  }
}

/**
 * Removes the prefix that zod puts before a message, such as `Too small:
 * expected`.
 */
function stripPrefix(message: string): string {
  return message.replace(/^(?:[A-Z][a-z]+(?: [a-z]+)*: )?(?:expected )?/, "");
}
