/**
 * A copy of the entries that the platform's store has under one prefix. An
 * entry is never replaced by an older revision, whether a change comes from the
 * store itself or from a peer that reads it.
 */

/** One change, as read from the store or a peer. */
export interface StoreChange {
  key: string;
  /** Store revision of the change. */
  revision: number;
  /** Raw bytes as base64 text; undefined if the key was removed. */
  value: string | undefined;
}

/** Changes from one source, complete up to `asOf`. */
export interface StoreBatch {
  /** Whether the batch lists all keys, so that others don't exist. */
  isSnapshot: boolean;
  /** The batch is complete up to this store revision. */
  asOf: number;
  changes: StoreChange[];
}

/**
 * Maximum number of removed keys that are remembered for peers that lag behind.
 */
const MAX_TOMBSTONES = 2_000;

export class StoreMirror {
  readonly #items = new Map<string, StoreChange>();
  readonly #tombstones = new Map<string, StoreChange>();
  #asOf = 0;
  /**
   * Removals up to this revision may be forgotten; a peer behind it gets a
   * snapshot.
   */
  #compactedRevision = 0;

  /**
   * Store revision up to which this copy is complete; 0 before the first batch.
   */
  get asOf(): number {
    return this.#asOf;
  }

  /** Applies a batch; returns the changes that altered this copy. */
  applyBatch(batch: StoreBatch): StoreChange[] {
    const applied = batch.changes.filter((change) => this.#applyChange(change));
    if (batch.isSnapshot) applied.push(...this.#removeUnlisted(batch));
    this.#asOf = Math.max(this.#asOf, batch.asOf);
    return applied;
  }

  /**
   * Returns the changes after a revision, for a peer that lags behind; a
   * snapshot if the peer has no data (revision 0) or removals after its
   * revision have been forgotten.
   */
  buildBatchAfter(revision: number): StoreBatch {
    const isSnapshot = revision < this.#compactedRevision || revision === 0;
    const changes = isSnapshot
      ? [...this.#items.values()]
      : [...this.#items.values(), ...this.#tombstones.values()]
        .filter((change) => change.revision > revision);
    return { isSnapshot, asOf: this.#asOf, changes };
  }

  #applyChange(change: StoreChange): boolean {
    const known = this.#items.get(change.key) ??
      this.#tombstones.get(change.key);
    if (known && known.revision >= change.revision) return false;
    if (change.value === undefined) {
      this.#items.delete(change.key);
      this.#addTombstone(change);
      return true;
    }
    this.#tombstones.delete(change.key);
    this.#items.set(change.key, change);
    return known?.value !== change.value;
  }

  #removeUnlisted(batch: StoreBatch): StoreChange[] {
    const listed = new Set(batch.changes.map((change) => change.key));
    const removed: StoreChange[] = [];
    for (const item of this.#items.values()) {
      if (listed.has(item.key) || item.revision > batch.asOf) continue;
      removed.push({ key: item.key, revision: batch.asOf, value: undefined });
    }
    for (const change of removed) {
      this.#items.delete(change.key);
      this.#addTombstone(change);
    }
    return removed;
  }

  #addTombstone(change: StoreChange): void {
    this.#tombstones.set(change.key, change);
    if (this.#tombstones.size <= MAX_TOMBSTONES) return;
    const [oldest] = this.#tombstones.values();
    if (!oldest) return;
    this.#tombstones.delete(oldest.key);
    this.#compactedRevision = Math.max(
      this.#compactedRevision,
      oldest.revision,
    );
  }
}
