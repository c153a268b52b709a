/** Immutable set of rows by key, with an incrementally updated digest. */
import { BucketMap } from "./bucket_map.ts";
import {
  addRow,
  EMPTY_DIGEST,
  removeRow,
  type RowDigest,
} from "./row_digest.ts";

/** Key of a table's rows, and their canonical encoding for the digest. */
export interface RowFormat<Row> {
  getKey(row: Row): string;
  formatRow(row: Row): string;
}

/** Rows that differ between two sets. */
export interface RowChanges<Row> {
  changed: Row[];
  removed: string[];
}

export class RowSet<Row> {
  readonly digest: RowDigest;
  readonly #format: RowFormat<Row>;
  readonly #rows: BucketMap<Row>;
  #cachedRows: readonly Row[] | undefined;

  private constructor(
    format: RowFormat<Row>,
    rows: BucketMap<Row>,
    digest: RowDigest,
  ) {
    this.#format = format;
    this.#rows = rows;
    this.digest = digest;
  }

  /** Builds a set. If several rows have the same key, the last one wins. */
  static createFrom<Row>(
    format: RowFormat<Row>,
    rows: Iterable<Row>,
  ): RowSet<Row> {
    const byKey = new Map<string, Row>();
    for (const row of rows) byKey.set(format.getKey(row), row);
    let digest = EMPTY_DIGEST;
    for (const row of byKey.values()) {
      digest = addRow(digest, format.formatRow(row));
    }
    return new RowSet(format, BucketMap.createFrom(byKey), digest);
  }

  get size(): number {
    return this.#rows.size;
  }

  getRow(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  getRows(): readonly Row[] {
    return this.#cachedRows ??= Array.from(
      this.#rows.listEntries(),
      ([, row]) => row,
    );
  }

  /** Returns a new set with the changes applied. */
  apply(changes: RowChanges<Row>): RowSet<Row> {
    if (changes.changed.length === 0 && changes.removed.length === 0) {
      return this;
    }
    const { getKey, formatRow } = this.#format;
    const changed = new Map(changes.changed.map((row) => [getKey(row), row]));
    let digest = this.digest;
    for (const key of new Set([...changes.removed, ...changed.keys()])) {
      const old = this.#rows.get(key);
      if (old !== undefined) digest = removeRow(digest, formatRow(old));
    }
    for (const row of changed.values()) digest = addRow(digest, formatRow(row));
    const rows = this.#rows.apply([...changed], changes.removed);
    return new RowSet(this.#format, rows, digest);
  }

  /** Returns the changes from this set to the other. */
  findChanges(other: RowSet<Row>): RowChanges<Row> {
    const { formatRow } = this.#format;
    const changed: Row[] = [];
    for (const [key, row] of other.#rows.listEntries()) {
      const old = this.#rows.get(key);
      if (old === row) continue;
      if (old === undefined || formatRow(old) !== formatRow(row)) {
        changed.push(row);
      }
    }
    const removed: string[] = [];
    for (const [key] of this.#rows.listEntries()) {
      if (!other.#rows.has(key)) removed.push(key);
    }
    return { changed, removed };
  }
}
