/**
 * Keeps runs that ended without a complete response at upstreams that may have
 * crashed, until there is proof: another host saw the crash, or the host list
 * shows another process in the upstream's place.
 *
 * Load pattern: upstreams that listen again before a probe reaches them, and
 * callers that disconnect before their request crashes its upstream. In both
 * cases nothing on the connection shows the crash.
 */
import type { Milliseconds } from "../structures.ts";

export interface UnconfirmedRun<U> {
  upstream: U;
  /** Name of this start of the upstream, the same on all hosts. */
  crashId: string;
  /** Of the request. */
  fingerprint: string;
  /** When the run ended on this host. */
  endedAt: Milliseconds;
  /** Called once when the crash is confirmed. */
  confirm: (now: Milliseconds) => void;
}

/**
 * Time after the end of a run in which a crash is attributed to it: the host
 * list shows a crash after three missed heartbeats of some 1.2 s and a grace
 * period of 2 s.
 */
const MAX_CONFIRMATION_MS = 8_000;
/** Maximum number of runs that are kept; the oldest are dropped. */
const MAX_RUNS = 1_000;

export class UnconfirmedCrashes<U> {
  /** In the order of their ends. */
  #runs: UnconfirmedRun<U>[] = [];

  add(run: UnconfirmedRun<U>): void {
    this.#runs.push(run);
    if (this.#runs.length > MAX_RUNS) this.#runs.shift();
  }

  /** Returns whether another run of the request waits for proof. */
  hasRunOf(fingerprint: string): boolean {
    return this.#runs.some((run) => run.fingerprint === fingerprint);
  }

  get size(): number {
    return this.#runs.length;
  }

  /** Confirms the runs on the starts of upstreams that have crashed. */
  confirmCrashes(crashIds: ReadonlySet<string>, now: Milliseconds): void {
    this.#confirm(({ crashId }) => crashIds.has(crashId), now);
  }

  /**
   * Confirms the runs on upstreams that have ended.
   *
   * @param hasEnded called once for each start of an upstream
   */
  confirmEnded(hasEnded: (upstream: U) => boolean, now: Milliseconds): void {
    const ended = new Map<string, boolean>();
    this.#confirm(({ crashId, upstream }) => {
      const isEnded = ended.get(crashId) ?? hasEnded(upstream);
      ended.set(crashId, isEnded);
      return isEnded;
    }, now);
  }

  #confirm(
    isConfirmed: (run: UnconfirmedRun<U>) => boolean,
    now: Milliseconds,
  ): void {
    if (this.#runs.length === 0) return;
    const confirmed: UnconfirmedRun<U>[] = [];
    this.#runs = this.#runs.filter((run) => {
      if (now - run.endedAt > MAX_CONFIRMATION_MS) return false;
      if (!isConfirmed(run)) return true;
      confirmed.push(run);
      return false;
    });
    for (const run of confirmed) run.confirm(now);
  }
}
