/**
 * A copy of the entries that the platform's store has under one prefix. An
 * entry is never replaced by an older revision of the same era, whether a change
 * comes from the store itself or from a peer that reads it. A new era of the
 * store begins with a snapshot, which replaces all entries.
 */
import type { StorePosition } from "./store_position.ts";

/** One change, as read from the store or a peer. */
export interface StoreChange {
  key: string;
  /** Store revision of the change. */
  revision: number;
  /** Raw bytes as base64 text; undefined if the key was removed. */
  value: string | undefined;
  /**
   * Whether the key may have lapsed in an outage of the store; only of a
   * removal, and undefined if the reader did not say.
   */
  mayHaveLapsed?: boolean | undefined;
}

/** Changes from one source, complete up to `asOf`. */
export interface StoreBatch {
  /** Era of the store to which all revisions of the batch belong. */
  era: number;
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
  #era = 0;
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

  /** Era of the store to which the revisions of this copy belong. */
  get era(): number {
    return this.#era;
  }

  /** Position up to which this copy is complete. */
  get position(): StorePosition {
    return { era: this.#era, revision: this.#asOf };
  }

  /**
   * Applies a batch; returns the changes that altered this copy. A batch of an
   * earlier era is ignored, and so is one of a later era that is no snapshot:
   * the changes before it are unknown.
   * @param isAfterOutage whether keys that were removed may have lapsed, unless
   * a change says so itself.
   */
  applyBatch(batch: StoreBatch, isAfterOutage = false): StoreChange[] {
    if (batch.era < this.#era) return [];
    if (batch.era > this.#era) {
      return batch.isSnapshot ? this.#beginEra(batch, isAfterOutage) : [];
    }
    const applied = batch.changes
      .map((change) => completeRemoval(change, isAfterOutage))
      .filter((change) => this.#applyChange(change));
    if (batch.isSnapshot) {
      applied.push(...this.#removeUnlisted(batch, isAfterOutage));
    }
    this.#asOf = Math.max(this.#asOf, batch.asOf);
    return applied;
  }

  /**
   * Returns the changes after a position, for a peer that lags behind; a
   * snapshot if the peer has no data (revision 0), its data is of another era,
   * or removals after its revision have been forgotten.
   */
  buildBatchAfter({ era, revision }: StorePosition): StoreBatch {
    const isSnapshot = era !== this.#era || revision === 0 ||
      revision < this.#compactedRevision;
    const changes = isSnapshot
      ? [...this.#items.values()]
      : [...this.#items.values(), ...this.#tombstones.values()]
        .filter((change) => change.revision > revision);
    return { era: this.#era, isSnapshot, asOf: this.#asOf, changes };
  }

  /**
   * Replaces all entries by those of a later era. Returns each listed entry that
   * is not known in this form, and the removal of each entry that is not listed.
   */
  #beginEra(batch: StoreBatch, isAfterOutage: boolean): StoreChange[] {
    const changed = batch.changes.filter(({ key, value, revision }) => {
      const known = this.#items.get(key);
      return known?.value !== value || known?.revision !== revision;
    });
    const listed = new Set(batch.changes.map((change) => change.key));
    const removed = [...this.#items.keys()].filter((key) => !listed.has(key))
      .map((key) => createRemoval(key, batch.asOf, isAfterOutage));
    this.#items.clear();
    this.#tombstones.clear();
    for (const change of batch.changes) this.#items.set(change.key, change);
    this.#era = batch.era;
    this.#asOf = batch.asOf;
    // Removals before the snapshot are unknown in this era.
    this.#compactedRevision = batch.asOf;
    return [...changed, ...removed];
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

  #removeUnlisted(batch: StoreBatch, isAfterOutage: boolean): StoreChange[] {
    const listed = new Set(batch.changes.map((change) => change.key));
    const removed: StoreChange[] = [];
    for (const item of this.#items.values()) {
      if (listed.has(item.key) || item.revision > batch.asOf) continue;
      removed.push(createRemoval(item.key, batch.asOf, isAfterOutage));
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

function createRemoval(
  key: string,
  revision: number,
  mayHaveLapsed: boolean,
): StoreChange {
  return { key, revision, value: undefined, mayHaveLapsed };
}

/** Returns the change; a removal with what is known of its cause. */
function completeRemoval(
  change: StoreChange,
  isAfterOutage: boolean,
): StoreChange {
  return change.value === undefined && change.mayHaveLapsed === undefined
    ? { ...change, mayHaveLapsed: isAfterOutage }
    : change;
}
