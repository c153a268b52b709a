/**
 * Keeps the crashes at which each request was running, so that a request that
 * crashes upstreams is held back whatever it sent before the crash.
 *
 * Load pattern: one request is sent again and again, with a new id, to any host
 * of the fleet, and crashes most upstreams that run it: before any output,
 * after some, or only now and then. Requests that were running beside it are in
 * one of its crashes, but rarely in three of them one after the other. A
 * request that many callers send alike is in some crashes and completes far
 * more often.
 *
 * A request is held back once it was running in three separate crashes with few
 * completed runs between them. Output and completed runs lower the suspicion,
 * they do not erase it. After a time that doubles with each further crash it
 * is tried once; a trial that completes admits it until its next crash.
 *
 * Crashes of runs that overlap may have one cause that is not the request, such
 * as a failure domain without power. Three of them put a request that has not
 * completed lately on probation: it runs once at a time, one host after the
 * other, until a run completes or the crashes are three separate ones.
 */
import type { Milliseconds } from "../structures.ts";
import {
  computeTrialIntervalMs,
  CRASH_LIFETIME_MS,
  NEWS_LIFETIME_MS,
  TRIAL_TIMEOUT_MS,
} from "./crash_timing.ts";

/** A run that was in progress when its upstream crashed. */
export interface CrashedRun {
  /** The same on all hosts that saw the crash. */
  crashId: string;
  sentAt: Milliseconds;
  /** When the run ended on this host. */
  endedAt: Milliseconds;
}

/** Crashes of one request in a message. */
export type RequestCrashEntry = [
  fingerprint: string,
  crashCount: number,
  crashes: [crashId: string, ageMs: Milliseconds, runMs: Milliseconds][],
];

export type RequestAdmission =
  | { kind: "admitted" }
  /** Admitted as the only run of a request that is held back or on probation. */
  | { kind: "trial" }
  | { kind: "refused"; retryAfterMs: Milliseconds };

export interface RequestCrashHistoryOptions {
  /**
   * Time by which this host's trial of a request comes after the earliest one
   * in the fleet, so that hosts try one after the other.
   */
  getTrialDelayMs: (fingerprint: string, now: Milliseconds) => Milliseconds;
}

interface Crash extends CrashedRun {
  /** Completed runs of the request on this host before the crash. */
  completionsBefore: number;
}

interface History {
  /** In time order, at most `MAX_CRASHES_PER_REQUEST`. */
  crashes: Crash[];
  /** Highest number of separate crashes that any host knows of. */
  crashCount: number;
  /** Completed runs on this host since the first crash. */
  completions: number;
  /** Whether a run on this host had completed shortly before the first crash. */
  wasSound: boolean;
  /** End of the latest trial that completed. */
  provenAt: Milliseconds;
  trialStartedAt: Milliseconds;
  /** When a crash was last added. */
  changedAt: Milliseconds;
}

/** Separate crashes after which a request is held back. */
const MAX_CRASHES = 3;
/**
 * Completed runs since the third-last crash from which on the request counts as
 * sound: it then crashed at most one upstream in five runs.
 */
const SOUND_COMPLETIONS = 12;
/**
 * Uncertainty of times that peers report, but at most half of a run. A run that
 * was sent earlier than this before another crash of the request had begun by
 * then, so that both crashes may have one cause that is not the request.
 */
const TIME_TOLERANCE_MS = 50;
/** Time after the latest crash until the first trial. */
const TRIAL_INTERVAL_MS = 60_000;

/** Time for which a completed run shows that a request was sound. */
const SOUND_LIFETIME_MS = 60_000;

const MAX_REQUESTS = 2_000;
const MAX_CRASHES_PER_REQUEST = 8;
/** Requests of which the latest completed run is remembered. */
const MAX_COMPLETED_REQUESTS = 4_000;

/** Bounds of a digest, which shares one datagram with a heartbeat. */
const MAX_DIGEST_REQUESTS = 16;
const MAX_DIGEST_CRASHES = 3;
/** Crashes of all requests in one digest. */
const MAX_DIGEST_RECORDS = 22;

export class RequestCrashHistory {
  readonly #options: RequestCrashHistoryOptions;
  /** Histories by fingerprint, those with the oldest news first. */
  readonly #histories = new Map<string, History>();
  /** When a run of each request last completed, the oldest first. */
  readonly #completedAt = new Map<string, Milliseconds>();
  #changedAt = Number.NEGATIVE_INFINITY;
  #digestCount = 0;

  constructor(options: RequestCrashHistoryOptions) {
    this.#options = options;
  }

  /**
   * Records that a run of the request was in progress when its upstream
   * crashed. Returns whether the request is held back now and was not before.
   */
  recordCrash(
    fingerprint: string,
    run: CrashedRun,
    now: Milliseconds,
  ): boolean {
    const wasHeldBack = this.isHeldBack(fingerprint, now);
    if (!this.#addCrash(fingerprint, run, now)) return false;
    this.#changedAt = now;
    return !wasHeldBack && this.isHeldBack(fingerprint, now);
  }

  /** Records a run that completed, as a trial or not. */
  recordCompletion(
    fingerprint: string,
    isTrial: boolean,
    now: Milliseconds,
  ): void {
    this.#completedAt.delete(fingerprint);
    this.#completedAt.set(fingerprint, now);
    if (this.#completedAt.size > MAX_COMPLETED_REQUESTS) {
      const [oldest] = this.#completedAt.keys();
      if (oldest !== undefined) this.#completedAt.delete(oldest);
    }
    const history = this.#histories.get(fingerprint);
    if (!history) return;
    history.completions += 1;
    if (isTrial) history.provenAt = now;
  }

  /** Merges what a peer knows. Returns whether a request is held back by it. */
  mergeDigest(
    entries: readonly RequestCrashEntry[],
    now: Milliseconds,
  ): boolean {
    let isAnyHeldBack = false;
    for (const [fingerprint, crashCount, crashes] of entries) {
      const wasHeldBack = this.isHeldBack(fingerprint, now);
      let hasNews = false;
      for (const [crashId, ageMs, runMs] of crashes) {
        if (ageMs >= CRASH_LIFETIME_MS) continue;
        const endedAt = now - ageMs;
        const run = { crashId, sentAt: endedAt - runMs, endedAt };
        hasNews = this.#addCrash(fingerprint, run, now) || hasNews;
      }
      const history = this.#histories.get(fingerprint);
      if (!history) continue;
      if (crashCount > history.crashCount) {
        history.crashCount = crashCount;
        hasNews = true;
      }
      if (hasNews) {
        history.changedAt = now;
        this.#changedAt = now;
      }
      if (!wasHeldBack && this.isHeldBack(fingerprint, now)) {
        isAnyHeldBack = true;
      }
    }
    return isAnyHeldBack;
  }

  /** Returns whether there is something that peers may not know. */
  hasNews(now: Milliseconds): boolean {
    return now - this.#changedAt < NEWS_LIFETIME_MS;
  }

  /**
   * Returns what peers should know: requests with a recent crash first, the most
   * suspect of them before the others, then those held back, which take turns.
   */
  getDigest(now: Milliseconds): RequestCrashEntry[] {
    this.#expire(now);
    this.#digestCount += 1;
    const latestFirst = [...this.#histories].reverse();
    const isNews = ([, { changedAt }]: [string, History]) =>
      now - changedAt < NEWS_LIFETIME_MS;
    const older = latestFirst.filter((each) => !isNews(each));
    const entries = [
      ...latestFirst.filter(isNews).sort(([, a], [, b]) =>
        compareSuspicion(a, b)
      ),
      ...rotate(
        older.filter(([, history]) => isHeldBack(history)),
        this.#digestCount,
      ),
      ...older.filter(([, history]) => !isHeldBack(history)),
    ].slice(0, MAX_DIGEST_REQUESTS)
      .map(([fingerprint, history]) => toEntry(fingerprint, history, now));
    let records = 0;
    return entries.filter(([, , crashes]) => {
      records += crashes.length;
      return records <= MAX_DIGEST_RECORDS;
    });
  }

  /** Decides whether the request may be sent to an upstream. */
  decideAdmission(fingerprint: string, now: Milliseconds): RequestAdmission {
    const history = this.#histories.get(fingerprint);
    if (!history) return { kind: "admitted" };
    const mayTryAgainAt = computeTrialAt(history);
    if (mayTryAgainAt === undefined) return { kind: "admitted" };
    const trialAt = mayTryAgainAt +
      this.#options.getTrialDelayMs(fingerprint, now);
    const allowedAt = Math.max(
      trialAt,
      history.trialStartedAt + TRIAL_TIMEOUT_MS,
    );
    if (allowedAt > now) {
      return { kind: "refused", retryAfterMs: allowedAt - now };
    }
    history.trialStartedAt = now;
    return { kind: "trial" };
  }

  /** Ends a trial, whatever its outcome, so that another one may follow. */
  endTrial(fingerprint: string): void {
    const history = this.#histories.get(fingerprint);
    if (history) history.trialStartedAt = Number.NEGATIVE_INFINITY;
  }

  isHeldBack(fingerprint: string, now: Milliseconds): boolean {
    const history = this.#histories.get(fingerprint);
    return history !== undefined &&
      now - getLastCrashAt(history) < CRASH_LIFETIME_MS && isHeldBack(history);
  }

  /** Returns whether the request runs once at a time for its crashes. */
  isOnProbation(fingerprint: string): boolean {
    const history = this.#histories.get(fingerprint);
    return history !== undefined && isOnProbation(history);
  }

  /** Returns whether the request was running at any crash. */
  hasCrashes(fingerprint: string): boolean {
    return this.#histories.has(fingerprint);
  }

  countHeldBack(): number {
    return [...this.#histories.values()].filter(isHeldBack).length;
  }

  /** Adds a crash; returns whether it was unknown. */
  #addCrash(
    fingerprint: string,
    run: CrashedRun,
    now: Milliseconds,
  ): boolean {
    const history: History = this.#histories.get(fingerprint) ?? {
      crashes: [],
      crashCount: 0,
      completions: 0,
      wasSound: this.#hasCompletedSince(
        fingerprint,
        run.sentAt - SOUND_LIFETIME_MS,
      ),
      provenAt: Number.NEGATIVE_INFINITY,
      trialStartedAt: Number.NEGATIVE_INFINITY,
      changedAt: now,
    };
    const known = history.crashes.find(({ crashId }) =>
      crashId === run.crashId
    );
    if (known) return false;
    const isLatest = run.endedAt > getLastCrashAt(history);
    history.crashes.push({ ...run, completionsBefore: history.completions });
    history.crashes.sort((a, b) => a.endedAt - b.endedAt);
    const isFurther = isLatest && history.crashCount >= MAX_CRASHES;
    history.crashCount = Math.max(
      history.crashCount + (isFurther ? 1 : 0),
      countSeparate(history.crashes),
    );
    if (history.crashes.length > MAX_CRASHES_PER_REQUEST) {
      history.crashes.shift();
    }
    history.changedAt = now;
    this.#histories.delete(fingerprint);
    this.#histories.set(fingerprint, history);
    if (this.#histories.size > MAX_REQUESTS) this.#removeLeastSuspect();
    return true;
  }

  #hasCompletedSince(fingerprint: string, time: Milliseconds): boolean {
    const completedAt = this.#completedAt.get(fingerprint);
    return completedAt !== undefined && completedAt >= time;
  }

  /** Removes the oldest request that is not held back, or the oldest of all. */
  #removeLeastSuspect(): void {
    const [oldest] = this.#histories.keys();
    for (const [fingerprint, history] of this.#histories) {
      if (isHeldBack(history)) continue;
      this.#histories.delete(fingerprint);
      return;
    }
    if (oldest !== undefined) this.#histories.delete(oldest);
  }

  #expire(now: Milliseconds): void {
    for (const [fingerprint, history] of this.#histories) {
      if (now - getLastCrashAt(history) >= CRASH_LIFETIME_MS) {
        this.#histories.delete(fingerprint);
      }
    }
  }
}

/**
 * Orders histories of which peers may not know: held back ones first, then by
 * the number of crashes, then by the shortest run, as most requests that crash
 * upstreams do so at once.
 */
function compareSuspicion(a: History, b: History): number {
  return Number(isHeldBack(b)) - Number(isHeldBack(a)) ||
    b.crashes.length - a.crashes.length ||
    getLastRunMs(a) - getLastRunMs(b);
}

function getLastRunMs({ crashes }: History): Milliseconds {
  const last = crashes.at(-1);
  return last ? last.endedAt - last.sentAt : Number.POSITIVE_INFINITY;
}

function rotate<T>(items: readonly T[], count: number): T[] {
  const offset = count % Math.max(1, items.length);
  return [...items.slice(offset), ...items.slice(0, offset)];
}

/** The count of a request that is held back says all but when it crashed last. */
function toEntry(
  fingerprint: string,
  history: History,
  now: Milliseconds,
): RequestCrashEntry {
  const { crashCount, crashes } = history;
  const told = crashes.slice(isHeldBack(history) ? -1 : -MAX_DIGEST_CRASHES);
  return [
    fingerprint,
    crashCount,
    told.map(({ crashId, sentAt, endedAt }) => [
      crashId,
      Math.round(now - endedAt),
      Math.round(endedAt - sentAt),
    ]),
  ];
}

function getLastCrashAt({ crashes }: History): Milliseconds {
  return crashes.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
}

function isHeldBack(history: History): boolean {
  return history.crashCount >= MAX_CRASHES && !isProvenSound(history);
}

function isOnProbation(history: History): boolean {
  return history.crashCount < MAX_CRASHES &&
    history.crashes.length >= MAX_CRASHES && !history.wasSound &&
    !isProvenSound(history);
}

/** Returns whether runs have completed that outweigh the crashes. */
function isProvenSound(history: History): boolean {
  const { crashes, completions, provenAt } = history;
  if (getLastCrashAt(history) <= provenAt) return true;
  const before = crashes.at(-MAX_CRASHES) ?? crashes[0];
  return completions - (before?.completionsBefore ?? 0) >= SOUND_COMPLETIONS;
}

/**
 * Returns when the first host may try the request again; undefined if it is
 * admitted.
 */
function computeTrialAt(history: History): Milliseconds | undefined {
  const lastCrashAt = getLastCrashAt(history);
  if (isOnProbation(history)) return lastCrashAt;
  if (!isHeldBack(history)) return undefined;
  return lastCrashAt + computeTrialIntervalMs(
    TRIAL_INTERVAL_MS,
    history.crashCount - MAX_CRASHES,
  );
}

/**
 * Counts the crashes of runs that were sent after the crash before: upstreams
 * that fail together say little about a request on each of them.
 */
function countSeparate(crashes: readonly Crash[]): number {
  let count = 0;
  let previousAt = Number.NEGATIVE_INFINITY;
  for (const { sentAt, endedAt } of crashes) {
    const toleranceMs = Math.min(TIME_TOLERANCE_MS, (endedAt - sentAt) / 2);
    if (sentAt < previousAt - toleranceMs) continue;
    count += 1;
    previousAt = endedAt;
  }
  return count;
}
