/**
 * Decides which of two configurations comes into force. Within an era of the
 * store, the higher version does. A restored store may hold an older version
 * than the one in force: the lost writes are expected again, so that version
 * stays out of force. A lower version that was written after the restore comes
 * into force, once it has stood for long enough not to be one of several lost
 * versions that are written again in their order.
 */
import type { Milliseconds } from "../structures.ts";
import type { StorePosition } from "./store_position.ts";

/** One write of a configuration to the store. */
export interface ConfigurationWrite extends StorePosition {
  version: number;
  contentHash: number;
}

export type ConfigurationDecision =
  | { kind: "apply" }
  | { kind: "ignore" }
  /** Comes into force at that time unless another write follows. */
  | { kind: "defer"; until: Milliseconds };

/**
 * Time for which a version below the one in force has to stand after a restore.
 * Leaves most of the two seconds in which a configuration has to come into
 * force to the store and the peers.
 */
export const LOWER_VERSION_DELAY_MS = 700;
/** Maximum number of writes that are remembered for the next restore. */
const MAX_REMEMBERED_WRITES = 64;

export class ConfigurationOrder {
  #inForce: ConfigurationWrite | undefined;
  /** Content hashes of the writes read so far, by revision. */
  readonly #hashesByRevision = new Map<number, number>();
  #deferredUntil: Milliseconds | undefined;

  /** Decides on a write, in the order in which the writes are read. */
  decide(write: ConfigurationWrite, now: Milliseconds): ConfigurationDecision {
    const decision = this.#decide(write, now);
    this.#rememberWrite(write);
    this.#deferredUntil = decision.kind === "defer"
      ? decision.until
      : undefined;
    if (decision.kind === "apply") this.#inForce = write;
    return decision;
  }

  /** Records that a deferred write has come into force. */
  recordInForce(write: ConfigurationWrite): void {
    this.#inForce = write;
    this.#deferredUntil = undefined;
  }

  #decide(
    write: ConfigurationWrite,
    now: Milliseconds,
  ): ConfigurationDecision {
    const inForce = this.#inForce;
    if (!inForce || write.version > inForce.version) return { kind: "apply" };
    if (write.era <= inForce.era) return { kind: "ignore" };
    if (write.version === inForce.version) {
      if (write.contentHash !== inForce.contentHash) return { kind: "apply" };
      this.#inForce = write;
      return { kind: "ignore" };
    }
    const isRestored =
      this.#hashesByRevision.get(write.revision) === write.contentHash;
    if (isRestored) return { kind: "ignore" };
    const until = this.#deferredUntil ?? now + LOWER_VERSION_DELAY_MS;
    return { kind: "defer", until };
  }

  #rememberWrite(write: ConfigurationWrite): void {
    this.#hashesByRevision.delete(write.revision);
    this.#hashesByRevision.set(write.revision, write.contentHash);
    if (this.#hashesByRevision.size <= MAX_REMEMBERED_WRITES) return;
    const [oldest] = this.#hashesByRevision.keys();
    if (oldest !== undefined) this.#hashesByRevision.delete(oldest);
  }
}
