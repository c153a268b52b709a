/** Immutable snapshot of the host list at one revision. */
import type { HostListDelta } from "../messages.ts";
import type { HostListStructure, HostStructure } from "../structures.ts";
import { formatDigest } from "./row_digest.ts";
import { HOST_FORMAT } from "./row_formats.ts";
import { RowSet } from "./row_set.ts";

export class HostListSnapshot {
  readonly revision: number;
  readonly #rows: RowSet<HostStructure>;

  private constructor(revision: number, rows: RowSet<HostStructure>) {
    this.revision = revision;
    this.#rows = rows;
  }

  static createFrom(structure: HostListStructure): HostListSnapshot {
    return new HostListSnapshot(
      structure.revision,
      RowSet.createFrom(HOST_FORMAT, structure.hosts),
    );
  }

  get digest(): string {
    return formatDigest(this.#rows.digest);
  }

  getHosts(): readonly HostStructure[] {
    return this.#rows.getRows();
  }

  /** Returns a new snapshot with the delta applied. */
  apply(delta: HostListDelta): HostListSnapshot {
    return new HostListSnapshot(
      delta.toRevision,
      this.#rows.apply({
        changed: delta.hosts,
        removed: delta.removedHosts,
      }),
    );
  }

  /** Returns the delta from this snapshot to a later one. */
  findDelta(later: HostListSnapshot): HostListDelta {
    const { changed, removed } = this.#rows.findChanges(later.#rows);
    return {
      fromRevision: this.revision,
      toRevision: later.revision,
      digest: later.digest,
      hosts: changed,
      removedHosts: removed,
    };
  }
}
