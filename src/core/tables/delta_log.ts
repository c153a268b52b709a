/**
 * Log of the latest deltas of one table, for peers that are a few revisions
 * behind.
 */

/** The revisions between which a delta leads. */
export interface RevisionSpan {
  fromRevision: number;
  toRevision: number;
}

/** Maximum number of deltas, and of rows in them, that the log keeps. */
const MAX_DELTAS = 512;
const MAX_LOGGED_ROWS = 20_000;
/**
 * Maximum number of rows in one response or one gossiped delta; more are
 * transferred in chunks.
 */
export const MAX_DELTA_ROWS = 1_000;

interface LogEntry<Delta> {
  delta: Delta;
  rows: number;
}

export class DeltaLog<Delta extends RevisionSpan> {
  readonly #countRows: (delta: Delta) => number;
  #entries: LogEntry<Delta>[] = [];
  #rows = 0;

  constructor(countRows: (delta: Delta) => number) {
    this.#countRows = countRows;
  }

  /**
   * Appends the delta that leads to the current revision. If it does not
   * continue the log, earlier deltas are dropped.
   */
  add(delta: Delta): void {
    const last = this.#entries.at(-1)?.delta;
    if (last && last.toRevision !== delta.fromRevision) this.clear();
    const rows = this.#countRows(delta);
    this.#entries.push({ delta, rows });
    this.#rows += rows;
    while (
      this.#entries.length > MAX_DELTAS || this.#rows > MAX_LOGGED_ROWS
    ) {
      this.#rows -= this.#entries.shift()?.rows ?? 0;
    }
  }

  clear(): void {
    this.#entries = [];
    this.#rows = 0;
  }

  /**
   * Returns the deltas since the revision, or undefined if the log no longer
   * has them or they exceed `MAX_DELTA_ROWS`.
   */
  getDeltasSince(revision: number): Delta[] | undefined {
    const start = this.#entries.findIndex(({ delta }) =>
      delta.fromRevision <= revision && revision < delta.toRevision
    );
    if (start < 0) return undefined;
    const entries = this.#entries.slice(start);
    const rows = entries.reduce((sum, entry) => sum + entry.rows, 0);
    if (rows > MAX_DELTA_ROWS) return undefined;
    return entries.map((entry) => entry.delta);
  }
}
