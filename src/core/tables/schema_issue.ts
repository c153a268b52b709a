/** States what a schema expected, for faults that name the expected and the found value. */
import type { z } from "zod";

/** Returns what was expected where the issue arose. */
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

/** Takes the library's own words off a message, such as `Too small: expected`. */
function stripPrefix(message: string): string {
  return message.replace(/^(?:[A-Z][a-z]+(?: [a-z]+)*: )?(?:expected )?/, "");
}
