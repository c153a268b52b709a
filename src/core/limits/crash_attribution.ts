/**
 * Attributes crashes of upstreams to what the requests have in common. Some
 * inputs crash every upstream that begins to produce output for them, whatever
 * else the request holds, so the requests differ from crash to crash and share
 * only a trait: a part of their prompt, or the fingerprint of the whole request.
 *
 * Load pattern: a crash ends the runs of many callers at once, of which each
 * host sees a few. Suspects are the requests without output: those whose
 * response head had arrived (likely), else those without one (possible). A trait
 * is cleared of all earlier crashes as soon as any run with it produces output,
 * on any host. Traits that stay suspect in several crashes are convicted, the
 * most incriminated first; crashes that a conviction explains don't count
 * against other traits. Requests with a convicted trait are refused, except for
 * single trials after a time that doubles with each further crash.
 *
 * All verdicts are derived from crash records and output times, which hosts
 * exchange. Hosts with the same records come to the same verdicts.
 */
import type { Milliseconds } from "../structures.ts";
import {
  computeTrialIntervalMs,
  CRASH_LIFETIME_MS,
  NEWS_LIFETIME_MS,
  TRIAL_TIMEOUT_MS,
} from "./crash_timing.ts";

/** A request that an upstream was running without output when it crashed. */
export interface CrashSuspect {
  traits: readonly string[];
  /** Whether the head of the response had arrived. */
  hasResponseHead: boolean;
  /** Time from the dispatch of the request to the crash. */
  runMs: Milliseconds;
}

/** Crash record in a message: the id, its age and the traits of the suspects. */
export type CrashEntry = [
  crashId: string,
  ageMs: Milliseconds,
  likely: string[],
  possible: [trait: string, runMs: Milliseconds][],
];

/** What a host knows of crashes, to be sent to its peers. */
export interface CrashDigest {
  crashes: CrashEntry[];
  /** How long ago runs with suspect traits last produced output. */
  outputs: [trait: string, ageMs: Milliseconds][];
  /** Number of crashes that convicted traits have caused. */
  crashCounts: [trait: string, crashes: number][];
}

export type CrashAdmission =
  | { kind: "admitted" }
  /** Admitted as the only request with this convicted trait. */
  | { kind: "trial"; traits: string[] }
  | { kind: "refused"; trait: string; retryAfterMs: Milliseconds };

/** Traits that are in the same crashes, so that one of them is to blame. */
export interface Conviction {
  traits: string[];
  lastCrashAt: Milliseconds;
  crashes: number;
}

export interface CrashAttributionOptions {
  /**
   * Time by which this host's trial of a trait comes after the earliest one in
   * the fleet, so that hosts try one after the other.
   */
  getTrialDelayMs: (trait: string, now: Milliseconds) => Milliseconds;
}

interface Crash {
  id: string;
  at: Milliseconds;
  likely: Set<string>;
  /** Traits with the shortest time that a request with them had run. */
  possible: Map<string, Milliseconds>;
}

interface Score {
  points: number;
  threshold: number;
  crashes: Crash[];
}

/** Points of a suspect trait for a crash, by how likely its request is at fault. */
const LIKELY_POINTS = 3;
const POSSIBLE_POINTS = 2;
/**
 * Points that convict a trait with which no run has produced output lately: two
 * crashes as a likely suspect, or three as a possible one.
 */
const UNKNOWN_TRAIT_THRESHOLD = 6;
/** Points that convict a trait that was sound shortly before its first crash. */
const SOUND_TRAIT_THRESHOLD = 12;
/** Time for which output shows that a trait was sound. */
const SOUND_TRAIT_LIFETIME_MS = 60_000;
/** Time after a conviction's last crash until the first trial. */
const TRIAL_INTERVAL_MS = 20_000;

/** Interval at which peers are told again without news, as digests may be lost. */
const REPEAT_INTERVAL_MS = 3_000;
/** Age up to which crashes without a conviction are told: others follow soon. */
const UNEXPLAINED_DIGEST_AGE_MS = 60_000;

const MAX_TRAITS = 8_000;
const MAX_CRASHES = 64;
const MAX_TRAITS_PER_CRASH = 48;
/** Bounds of a digest, which shares one datagram with a heartbeat. */
const MAX_DIGEST_CRASHES = 6;
const MAX_DIGEST_TRAITS_PER_CRASH = 4;
const MAX_DIGEST_OUTPUTS = 8;
const MAX_DIGEST_COUNTS = 6;

export class CrashAttribution {
  readonly #options: CrashAttributionOptions;
  /** When a run with the trait last produced output; least recent first. */
  readonly #outputAt = new Map<string, Milliseconds>();
  readonly #crashes = new Map<string, Crash>();
  /** Crash counts of convicted traits that peers report. */
  readonly #reportedCounts = new Map<string, number>();
  /** Start of the trial in progress of each convicted trait. */
  readonly #trials = new Map<string, Milliseconds>();
  /** Traits of all crash records, with the time of their latest crash. */
  readonly #latestCrashAt = new Map<string, Milliseconds>();
  /** When something was last recorded that peers may not know. */
  #changedAt = Number.NEGATIVE_INFINITY;
  /** Derived from the records; undefined after a change. */
  #convictions: Conviction[] | undefined = [];

  constructor(options: CrashAttributionOptions) {
    this.#options = options;
  }

  /**
   * Records that a run has produced output, which clears its traits. Returns
   * whether this ended a conviction.
   */
  recordOutput(traits: readonly string[], now: Milliseconds): boolean {
    const isClearing = traits.some((trait) => this.#isUncleared(trait));
    const before = isClearing ? this.listConvictions(now) : [];
    for (const trait of traits) this.#setOutput(trait, now);
    if (!isClearing) return false;
    this.#convictions = undefined;
    const hasEnded = before.some((each) =>
      each.traits.some((trait) => traits.includes(trait))
    );
    if (hasEnded) this.#changedAt = now;
    return hasEnded;
  }

  /** Records a suspect of a crash; the id is the same on all hosts. */
  recordCrash(
    crashId: string,
    suspect: CrashSuspect,
    now: Milliseconds,
  ): void {
    this.#changedAt = now;
    const crash = this.#getCrash(crashId, now);
    for (const trait of suspect.traits) {
      if (suspect.hasResponseHead) this.#addLikely(crash, trait);
      else this.#addPossible(crash, trait, suspect.runMs);
    }
    this.#removeExcess(now);
  }

  /**
   * Merges what a peer knows. Returns whether this added a conviction. A peer's
   * word never undoes output that this host has seen later.
   */
  mergeDigest(digest: CrashDigest, now: Milliseconds): boolean {
    const before = this.listConvictions(now).length;
    for (const [crashId, ageMs, likely, possible] of digest.crashes) {
      if (ageMs >= CRASH_LIFETIME_MS) continue;
      if (!this.#crashes.has(crashId)) this.#changedAt = now;
      const crash = this.#getCrash(crashId, now - ageMs);
      for (const trait of likely) this.#addLikely(crash, trait);
      for (const [trait, runMs] of possible) {
        this.#addPossible(crash, trait, runMs);
      }
    }
    for (const [trait, ageMs] of digest.outputs) {
      const at = now - ageMs;
      if (at > this.#getOutputAt(trait)) this.#setOutput(trait, at);
    }
    for (const [trait, crashes] of digest.crashCounts) {
      const known = this.#reportedCounts.get(trait) ?? 0;
      if (this.#latestCrashAt.has(trait) && crashes > known) {
        this.#reportedCounts.set(trait, crashes);
      }
    }
    this.#convictions = undefined;
    this.#removeExcess(now);
    const hasNews = this.listConvictions(now).length > before;
    if (hasNews) this.#changedAt = now;
    return hasNews;
  }

  /** Returns whether peers that were told at the given time are to be told again. */
  needsDigest(toldAt: Milliseconds, now: Milliseconds): boolean {
    return this.#crashes.size > 0 &&
      (now - this.#changedAt < NEWS_LIFETIME_MS ||
        now - toldAt >= REPEAT_INTERVAL_MS);
  }

  /** Returns what peers should know, or undefined if there is nothing to tell. */
  getDigest(now: Milliseconds): CrashDigest | undefined {
    if (this.#crashes.size === 0) return undefined;
    const convictions = this.listConvictions(now);
    const crashes = this.#selectDigestCrashes(convictions, now)
      .map((crash): CrashEntry => [
        crash.id,
        Math.round(now - crash.at),
        this.#selectDigestTraits(crash, crash.likely),
        crash.likely.size > 0
          ? []
          : this.#selectDigestTraits(crash, crash.possible.keys())
            .map((trait): [string, number] => [
              trait,
              Math.round(crash.possible.get(trait) ?? 0),
            ]),
      ]);
    const outputs: CrashDigest["outputs"] = [];
    for (const trait of this.#latestCrashAt.keys()) {
      const at = this.#outputAt.get(trait);
      if (at === undefined || now - at > SOUND_TRAIT_LIFETIME_MS) continue;
      outputs.push([trait, Math.round(now - at)]);
    }
    outputs.sort(([, ageMs], [, otherMs]) => ageMs - otherMs);
    return {
      crashes,
      outputs: outputs.slice(0, MAX_DIGEST_OUTPUTS),
      crashCounts: convictions
        .flatMap(({ traits, crashes }) =>
          traits.map((trait): [string, number] => [
            trait,
            Math.max(crashes, this.#reportedCounts.get(trait) ?? 0),
          ])
        ).slice(0, MAX_DIGEST_COUNTS),
    };
  }

  /** Decides whether a request with these traits may be sent to an upstream. */
  decideAdmission(
    traits: readonly string[],
    now: Milliseconds,
  ): CrashAdmission {
    const tried: string[] = [];
    for (const conviction of this.listConvictions(now)) {
      const held = conviction.traits.filter((each) => traits.includes(each));
      const [trait] = held;
      if (trait === undefined) continue;
      // A request with some of the traits that could be to blame shows which
      // of them it is, so it does not have to wait for more than its turn.
      const isDecisive = held.length < conviction.traits.length;
      const trialAt = isDecisive
        ? conviction.lastCrashAt + this.#options.getTrialDelayMs(trait, now)
        : this.#computeTrialAt(conviction, now);
      const runningTrialEndsAt = Math.max(
        ...held.map((each) =>
          (this.#trials.get(each) ?? Number.NEGATIVE_INFINITY) +
          TRIAL_TIMEOUT_MS
        ),
      );
      const allowedAt = Math.max(trialAt, runningTrialEndsAt);
      if (allowedAt > now) {
        return { kind: "refused", trait, retryAfterMs: allowedAt - now };
      }
      tried.push(...held);
    }
    if (tried.length === 0) return { kind: "admitted" };
    for (const trait of tried) this.#trials.set(trait, now);
    return { kind: "trial", traits: tried };
  }

  /** Returns whether the traits hold all that one conviction may be due to. */
  isConvicted(traits: readonly string[], now: Milliseconds): boolean {
    return this.listConvictions(now).some((conviction) =>
      conviction.traits.every((trait) => traits.includes(trait))
    );
  }

  /** Ends a trial, whatever its outcome, so that another one may follow. */
  endTrial(traits: readonly string[]): void {
    for (const trait of traits) this.#trials.delete(trait);
  }

  /**
   * Returns whether one of the traits is a likely suspect of an unexplained
   * crash or convicted, so that the request should not be repeated.
   */
  isSuspect(traits: readonly string[], now: Milliseconds): boolean {
    const convictions = this.listConvictions(now);
    const isConvicted = convictions.some((each) =>
      each.traits.some((trait) => traits.includes(trait))
    );
    if (isConvicted) return true;
    const open = this.#listUnexplained(convictions);
    const scores = this.#computeScores(open);
    return traits.some((trait) => {
      const score = scores.get(trait);
      return score !== undefined &&
        score.threshold === UNKNOWN_TRAIT_THRESHOLD &&
        score.points >= LIKELY_POINTS;
    });
  }

  listConvictions(now: Milliseconds): readonly Conviction[] {
    this.#expireCrashes(now);
    this.#convictions ??= this.#computeConvictions();
    return this.#convictions;
  }

  #computeConvictions(): Conviction[] {
    const convictions: Conviction[] = [];
    let open = this.#listByTime();
    for (;;) {
      const worst = this.#listMostIncriminated(open);
      const [first] = worst;
      if (!first) return convictions;
      const traits = worst.map(([trait]) => trait);
      open = open.filter((crash) => !isSuspectIn(crash, traits));
      const crashes = first[1].crashes;
      convictions.push({
        traits,
        lastCrashAt: crashes.at(-1)?.at ?? Number.NEGATIVE_INFINITY,
        crashes: crashes.length,
      });
    }
  }

  /**
   * Returns the trait that exceeds its threshold most, with all others that are
   * suspects in the same crashes; empty if none reaches its threshold.
   */
  #listMostIncriminated(open: readonly Crash[]): [string, Score][] {
    const scores = [...this.#computeScores(open)]
      .filter(([, { points, threshold }]) => points >= threshold)
      .sort(([trait, a], [other, b]) =>
        b.points / b.threshold - a.points / a.threshold ||
        (trait < other ? -1 : 1)
      );
    const worst = scores[0]?.[1];
    if (!worst) return [];
    return scores.filter(([, { points, threshold, crashes }]) =>
      points === worst.points && threshold === worst.threshold &&
      crashes.length === worst.crashes.length &&
      crashes.every((crash, index) => crash === worst.crashes[index])
    );
  }

  /** Scores the traits that are suspects in the crashes, given in time order. */
  #computeScores(crashes: readonly Crash[]): Map<string, Score> {
    const scores = new Map<string, Score>();
    for (const crash of crashes) {
      const likely = this.#listUncleared(crash, crash.likely);
      const isLikely = likely.length > 0;
      const suspects = isLikely
        ? likely
        : this.#listUncleared(crash, crash.possible.keys());
      for (const trait of suspects) {
        const score = scores.get(trait);
        if (!score) {
          scores.set(trait, {
            points: isLikely ? LIKELY_POINTS : POSSIBLE_POINTS,
            threshold: this.#hasBeenSound(trait, crash.at)
              ? SOUND_TRAIT_THRESHOLD
              : UNKNOWN_TRAIT_THRESHOLD,
            crashes: [crash],
          });
          continue;
        }
        const previousAt = score.crashes.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
        // Several upstreams that fail together say little about a request on
        // each of them.
        const sentAt = crash.at - (crash.possible.get(trait) ?? 0);
        if (!isLikely && sentAt < previousAt) continue;
        score.points += isLikely ? LIKELY_POINTS : POSSIBLE_POINTS;
        score.crashes.push(crash);
      }
    }
    return scores;
  }

  #listUnexplained(convictions: readonly Conviction[]): Crash[] {
    const convicted = convictions.flatMap(({ traits }) => traits);
    return this.#listByTime()
      .filter((crash) => !isSuspectIn(crash, convicted));
  }

  #listByTime(): Crash[] {
    return [...this.#crashes.values()].sort((a, b) => a.at - b.at);
  }

  /** Returns when a run with the trait last produced output, if ever. */
  #getOutputAt(trait: string): Milliseconds {
    return this.#outputAt.get(trait) ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns whether no run has produced output since the trait's latest crash. */
  #isUncleared(trait: string): boolean {
    const crashAt = this.#latestCrashAt.get(trait);
    return crashAt !== undefined && this.#getOutputAt(trait) < crashAt;
  }

  /** Returns the traits with which no run has produced output since the crash. */
  #listUncleared(crash: Crash, traits: Iterable<string>): string[] {
    return [...traits].filter((trait) => this.#getOutputAt(trait) < crash.at);
  }

  #hasBeenSound(trait: string, at: Milliseconds): boolean {
    return this.#getOutputAt(trait) > at - SOUND_TRAIT_LIFETIME_MS;
  }

  #computeTrialAt(conviction: Conviction, now: Milliseconds): Milliseconds {
    const { traits, lastCrashAt } = conviction;
    const crashes = Math.max(
      conviction.crashes,
      ...traits.map((trait) => this.#reportedCounts.get(trait) ?? 0),
    );
    const firstConviction = UNKNOWN_TRAIT_THRESHOLD / LIKELY_POINTS;
    const intervalMs = computeTrialIntervalMs(
      TRIAL_INTERVAL_MS,
      crashes - firstConviction,
    );
    const [trait = ""] = traits;
    return lastCrashAt + intervalMs + this.#options.getTrialDelayMs(trait, now);
  }

  /** Prefers the latest crashes of each conviction, then the latest others. */
  #selectDigestCrashes(
    convictions: readonly Conviction[],
    now: Milliseconds,
  ): Crash[] {
    const latestFirst = [...this.#crashes.values()]
      .sort((a, b) => b.at - a.at);
    const needed = UNKNOWN_TRAIT_THRESHOLD / POSSIBLE_POINTS;
    const selected = new Set<Crash>();
    for (const { traits } of convictions) {
      latestFirst.filter((crash) => isSuspectIn(crash, traits))
        .slice(0, needed).forEach((crash) => selected.add(crash));
    }
    const unexplained = this.#listUnexplained(convictions);
    for (const crash of latestFirst) {
      if (now - crash.at > UNEXPLAINED_DIGEST_AGE_MS) break;
      const hasSuspects = this.#listUncleared(crash, [
        ...crash.likely,
        ...crash.possible.keys(),
      ]).length > 0;
      if (hasSuspects && unexplained.includes(crash)) selected.add(crash);
    }
    return [...selected].slice(0, MAX_DIGEST_CRASHES);
  }

  /** Returns the most suspect traits: those that never produced output first. */
  #selectDigestTraits(crash: Crash, traits: Iterable<string>): string[] {
    return this.#listUncleared(crash, traits)
      .sort((a, b) => {
        const difference = this.#getOutputAt(a) - this.#getOutputAt(b);
        return Number.isNaN(difference) ? 0 : difference;
      })
      .slice(0, MAX_DIGEST_TRAITS_PER_CRASH);
  }

  #getCrash(id: string, at: Milliseconds): Crash {
    const known = this.#crashes.get(id);
    if (known) {
      known.at = Math.min(known.at, at);
      return known;
    }
    const crash: Crash = { id, at, likely: new Set(), possible: new Map() };
    this.#crashes.set(id, crash);
    return crash;
  }

  #addLikely(crash: Crash, trait: string): void {
    if (crash.likely.size >= MAX_TRAITS_PER_CRASH) return;
    crash.likely.add(trait);
    this.#recordCrashOf(trait, crash.at);
  }

  #addPossible(crash: Crash, trait: string, runMs: Milliseconds): void {
    const knownMs = crash.possible.get(trait);
    const isFull = crash.possible.size >= MAX_TRAITS_PER_CRASH;
    if (knownMs === undefined && isFull) return;
    crash.possible.set(trait, Math.min(runMs, knownMs ?? runMs));
    this.#recordCrashOf(trait, crash.at);
  }

  #recordCrashOf(trait: string, at: Milliseconds): void {
    const latestAt = this.#latestCrashAt.get(trait);
    this.#latestCrashAt.set(trait, Math.max(at, latestAt ?? at));
    this.#convictions = undefined;
  }

  #setOutput(trait: string, at: Milliseconds): void {
    this.#outputAt.delete(trait);
    this.#outputAt.set(trait, at);
    if (this.#outputAt.size <= MAX_TRAITS) return;
    const [oldest] = this.#outputAt.keys();
    if (oldest !== undefined) this.#outputAt.delete(oldest);
  }

  #removeExcess(now: Milliseconds): void {
    this.#expireCrashes(now);
    while (this.#crashes.size > MAX_CRASHES) {
      // Those that convict a trait stay as long as possible.
      const oldest = this.#listUnexplained(this.listConvictions(now))[0] ??
        this.#listByTime()[0];
      if (oldest) this.#removeCrash(oldest);
    }
  }

  #expireCrashes(now: Milliseconds): void {
    for (const crash of this.#crashes.values()) {
      if (now - crash.at >= CRASH_LIFETIME_MS) this.#removeCrash(crash);
    }
  }

  #removeCrash(crash: Crash): void {
    this.#crashes.delete(crash.id);
    this.#convictions = undefined;
    this.#latestCrashAt.clear();
    for (const { at, likely, possible } of this.#crashes.values()) {
      for (const trait of [...likely, ...possible.keys()]) {
        this.#recordCrashOf(trait, at);
      }
    }
    for (const trait of this.#reportedCounts.keys()) {
      if (!this.#latestCrashAt.has(trait)) this.#reportedCounts.delete(trait);
    }
  }
}

function isSuspectIn(
  { likely, possible }: Crash,
  traits: readonly string[],
): boolean {
  return traits.some((trait) => likely.has(trait) || possible.has(trait));
}
