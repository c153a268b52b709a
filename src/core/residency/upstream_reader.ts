/**
 * Reads the state of one upstream periodically, and decides from that whether
 * it is up.
 */
import type { Milliseconds, UpstreamStateStructure } from "../structures.ts";
import type { OwnerContext } from "./owner_context.ts";

export interface Reading {
  state: UpstreamStateStructure;
  /** When the reading was started. */
  readAt: Milliseconds;
}

/** Consecutive failed readings at which the upstream counts as down. */
const MAX_READ_FAILURES = 2;

export class UpstreamReader {
  readonly #context: OwnerContext;
  #reading: Reading | undefined;
  #pendingRead: { readId: string; startedAt: Milliseconds } | undefined;
  #lastStartedAt = Number.NEGATIVE_INFINITY;
  #failures = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  getReading(): Reading | undefined {
    return this.#reading;
  }

  getIncarnation(): string {
    return this.#reading?.state.incarnation ?? "";
  }

  isUp(): boolean {
    return this.#reading !== undefined && this.#failures < MAX_READ_FAILURES;
  }

  isLeaving(): boolean {
    return this.#context.options.host.state === "leaving" ||
      this.#reading?.state.leaving === true;
  }

  /**
   * Returns whether the last reading is recent enough to grant leases and order
   * loads.
   */
  isCurrent(now: Milliseconds): boolean {
    const age = now - (this.#reading?.readAt ?? Number.NEGATIVE_INFINITY);
    return age <= this.#context.options.settings.ownershipValidityMs;
  }

  /**
   * Returns the requests that the upstream last reported running on the
   * adapter.
   */
  getInFlight(adapterKey: string): number {
    return this.#reading?.state.residents
      .find((entry) => entry.adapterKey === adapterKey)?.inFlight ?? 0;
  }

  /** Starts a reading when one is due. */
  tick(now: Milliseconds): void {
    const { settings, host, pool, emit } = this.#context.options;
    const isDue = this.#pendingRead === undefined &&
      now - this.#lastStartedAt >= settings.stateReadIntervalMs;
    if (!isDue) return;
    const readId = this.#context.createId("read");
    this.#pendingRead = { readId, startedAt: now };
    this.#lastStartedAt = now;
    emit({
      kind: "readUpstreamState",
      upstreamId: host.id,
      upstreamKind: pool.kind,
      address: host.address,
      readId,
    });
  }

  /** Records a reading; returns undefined if it is not the pending one. */
  recordState(
    readId: string,
    state: UpstreamStateStructure,
  ): { reading: Reading; hasRestarted: boolean } | undefined {
    if (this.#pendingRead?.readId !== readId) return undefined;
    const reading = { state, readAt: this.#pendingRead.startedAt };
    const hasRestarted = this.#reading !== undefined &&
      this.#reading.state.incarnation !== state.incarnation;
    this.#pendingRead = undefined;
    this.#failures = 0;
    this.#reading = reading;
    return { reading, hasRestarted };
  }

  /**
   * Records a failed reading; returns false if it is not the pending one. A
   * refused connection shows at once that the upstream is down.
   */
  recordReadFailure(readId: string, isRefused: boolean): boolean {
    if (this.#pendingRead?.readId !== readId) return false;
    this.#pendingRead = undefined;
    this.#failures = isRefused ? MAX_READ_FAILURES : this.#failures + 1;
    return true;
  }
}
