/** Splits rows into chunks of limited size, for full transfers. */

/**
 * Maximum size of a chunk's rows as JSON. A single larger row gets its own
 * chunk.
 */
const CHUNK_BYTES = 262_144;

/** A row and the section that it belongs to. */
export interface SectionRow<Section extends string> {
  section: Section;
  row: unknown;
}

/** Returns the rows in order, split into at least one chunk. */
export function buildChunks<Section extends string>(
  rows: Iterable<SectionRow<Section>>,
): SectionRow<Section>[][] {
  const chunks: SectionRow<Section>[][] = [];
  let chunk: SectionRow<Section>[] = [];
  let bytes = 0;
  for (const entry of rows) {
    const size = JSON.stringify(entry.row).length;
    if (bytes + size > CHUNK_BYTES && chunk.length > 0) {
      chunks.push(chunk);
      chunk = [];
      bytes = 0;
    }
    chunk.push(entry);
    bytes += size;
  }
  chunks.push(chunk);
  return chunks;
}

/** Returns the rows of one section. */
export function getSectionRows<Row>(
  rows: readonly SectionRow<string>[],
  section: string,
): Row[] {
  return rows.filter((entry) => entry.section === section)
    .map((entry) => entry.row as Row);
}
