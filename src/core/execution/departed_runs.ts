/**
 * Watches the upstreams of runs whose callers have disconnected, and attributes
 * a crash that follows to the run. Guards against requests that crash upstreams
 * although no caller waits for them any more: neither the cancellation nor the
 * closed connection shows the crash.
 */
import type { CoreEvent } from "../events.ts";
import { HostState, type Milliseconds } from "../structures.ts";
import type { RunningAttempt } from "./crash_detector.ts";
import type { ExecutionContext } from "./execution_context.ts";

type StateReadEvent = Extract<
  CoreEvent,
  { kind: "upstreamStateRead" | "upstreamStateUnread" }
>;

interface DepartedRun extends RunningAttempt {
  endedAt: Milliseconds;
  /** Times after the end at which the upstream's state is still to be read. */
  readDelaysMs: readonly Milliseconds[];
  /** Whether the prompt's parts are suspected of a crash as well. */
  suspectsParts: boolean;
  /** Releases an exclusive lease; undefined if no other run was kept away. */
  release: ((now: Milliseconds) => void) | undefined;
}

/**
 * Times at which the upstream of any such run is read. Callers leave ordinary
 * runs as well: two reads each are fewer than the four a second of an owner.
 */
const READ_DELAYS_MS = [500, 1_500];
/** The same for a request that is suspected, or whose callers left before. */
const SUSPECT_READ_DELAYS_MS = [100, 300, 700, 1_500];
/** Time in which a crash is attributed: the last read, and its timeout of 0.8 s. */
const WATCH_MS = 2_500;
/** Maximum number of runs that are watched; the oldest are dropped. */
const MAX_RUNS = 1_000;

export class DepartedRuns {
  readonly #context: ExecutionContext;
  /** In the order of their ends. */
  readonly #runs = new Set<DepartedRun>();
  /** Reads without a result yet, with their upstreams. */
  readonly #reads = new Map<string, string>();

  constructor(context: ExecutionContext) {
    this.#context = context;
  }

  /**
   * Watches the upstream of a run, unless it is shutting down: it then ends
   * without a crash.
   *
   * @param options.isLost whether the upstream did not confirm the
   *   cancellation, so that it may have crashed already
   * @param options.release releases an exclusive lease when the watch ends
   */
  add(
    attempt: RunningAttempt,
    { isLost, suspectsParts, release }: {
      isLost: boolean;
      suspectsParts: boolean;
      release: ((now: Milliseconds) => void) | undefined;
    },
    now: Milliseconds,
  ): void {
    if (this.#isLeaving(attempt.upstreamId)) {
      release?.(now);
      return;
    }
    const { fingerprint } = attempt.request.event;
    const isRepeated = this.#context.isSuspect(attempt.request, now) ||
      [...this.#runs].some(({ request }) =>
        request.event.fingerprint === fingerprint
      );
    const delays = isRepeated ? SUSPECT_READ_DELAYS_MS : READ_DELAYS_MS;
    this.#runs.add({
      ...attempt,
      endedAt: now,
      readDelaysMs: isLost ? [0, ...delays] : delays,
      suspectsParts,
      release,
    });
    const [oldest] = this.#runs;
    if (oldest && this.#runs.size > MAX_RUNS) this.#remove(oldest, now);
    this.tick(now);
  }

  /** Reads the states that are due, and ends the watch of old runs. */
  tick(now: Milliseconds): void {
    const dueRuns = new Map<string, DepartedRun>();
    for (const run of this.#runs) {
      const ageMs = now - run.endedAt;
      if (ageMs > WATCH_MS) {
        this.#remove(run, now);
        continue;
      }
      const left = run.readDelaysMs.filter((delayMs) => delayMs > ageMs);
      if (left.length === run.readDelaysMs.length) continue;
      run.readDelaysMs = left;
      dueRuns.set(run.upstreamId, run);
    }
    if (dueRuns.size === 0) return;
    const pending = new Set(this.#reads.values());
    for (const [upstreamId, run] of dueRuns) {
      if (!pending.has(upstreamId)) this.#readState(run);
    }
  }

  /**
   * Attributes a crash that a state read shows, whoever started the read;
   * returns whether it was started here.
   */
  handleStateRead(event: StateReadEvent, now: Milliseconds): boolean {
    const crashed = [...this.#runs].filter((run) =>
      run.upstreamId === event.upstreamId && hasCrashed(event, run)
    );
    for (const run of crashed) this.#recordCrash(run, now);
    if (crashed.length > 0) this.#context.options.publishStrikes(now);
    return this.#reads.delete(event.readId);
  }

  #recordCrash(run: DepartedRun, now: Milliseconds): void {
    const { membership, quarantine } = this.#context.options;
    const { credit, request, suspectsParts, upstreamId, release } = run;
    const wasAlone = release !== undefined &&
      membership.getUpstreamView(upstreamId)?.ownerId === credit.ownerId;
    this.#remove(run, now);
    if (this.#isLeaving(upstreamId)) return;
    quarantine.recordCrash(
      suspectsParts ? request.event : { ...request.event, sharedParts: [] },
      wasAlone,
      now,
    );
  }

  #isLeaving(upstreamId: string): boolean {
    const { membership } = this.#context.options;
    return membership.getUpstreamHost(upstreamId)?.state ===
        HostState.Leaving ||
      membership.getUpstreamView(upstreamId)?.digest.leaving === true;
  }

  #remove(run: DepartedRun, now: Milliseconds): void {
    this.#runs.delete(run);
    run.release?.(now);
  }

  #readState({ upstreamId, request }: DepartedRun): void {
    const { membership, emit } = this.#context.options;
    const host = membership.getUpstreamHost(upstreamId);
    if (!host) return;
    const readId = this.#context.createId("departure");
    this.#reads.set(readId, upstreamId);
    emit({
      kind: "readUpstreamState",
      upstreamId,
      upstreamKind: request.pool.kind,
      address: host.address,
      readId,
    });
  }
}

/** Returns whether the start of the upstream that had the run has ended. */
function hasCrashed(event: StateReadEvent, { credit }: DepartedRun): boolean {
  switch (event.kind) {
    case "upstreamStateRead":
      return event.state.incarnation !== credit.upstreamIncarnation;
    case "upstreamStateUnread":
      return event.isConnectionRefused;
  }
}
