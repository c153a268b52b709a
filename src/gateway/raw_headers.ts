/** Raw headers, which Node.js gives as alternating names and values. */

/** Returns the headers without those of the names, which are in lower case. */
export function stripRawHeaders(
  rawHeaders: readonly string[],
  names: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    if (names.has(name.toLowerCase())) continue;
    kept.push(name, rawHeaders[index + 1] ?? "");
  }
  return kept;
}
