/**
 * Isolates requests that were running on an upstream when it crashed. A request
 * that shared the upstream with others becomes a suspect and runs exclusively
 * from then on; each upstream that crashes while it runs exclusively counts as
 * a strike. At the limit the request is refused. An exclusive run that
 * completes clears the suspect, but not the number of crashes: a request that
 * completes now and then is refused after `MAX_CRASHES` crashes as well.
 *
 * One of the parts that a request shares with others may be to blame, whatever
 * else the request holds. Suspected are sets of parts: those of a crashed request
 * with which no run has completed, and what two such sets have in common. A
 * request that holds a whole set runs exclusively, and is refused once the set
 * has `maxStrikes` strikes. A completed run removes its parts from all sets.
 */
import type { StrikeDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

export interface CrashQuarantineOptions {
  /** Upstreams that one request may crash before it is refused. */
  maxStrikes: number;
  strikeLifetimeMs: Milliseconds;
}

/** What identifies a request to the quarantine. */
export interface RequestTraits {
  /** Stable hash of customer, route and body. */
  fingerprint: string;
  /** Hashes of the parts of its body that other requests may have, too. */
  sharedParts: readonly string[];
}

/** Maximum number of suspects; the oldest are dropped. */
const MAX_SUSPECTS = 10_000;
/** Maximum number of suspect sets of parts; the oldest are dropped. */
const MAX_PART_SETS = 256;
/** Most parts of one set: prompts share a few. */
const MAX_SET_PARTS = 8;
/** Maximum number of parts whose completed runs are remembered. */
const MAX_KNOWN_PARTS = 10_000;
/** Maximum number of suspects sent in one heartbeat. */
const MAX_DIGEST_STRIKES = 32;
/**
 * Crashes since its last completed run after which a part is suspected that was
 * sound before: a part of many requests is in most batches that crash.
 */
const SOUND_PART_CRASHES = 3;

/** Crashes at which a request was running after which it is refused. */
const MAX_CRASHES = 3;
/**
 * Completed runs since its first crash from which on a request counts as sound:
 * it then crashed at most one upstream in five runs.
 */
const SOUND_COMPLETIONS = 12;
/** Maximum number of requests whose crashes are counted; the oldest are dropped. */
const MAX_CRASH_RECORDS = 10_000;

interface CrashRecord {
  crashes: number;
  /** Completed runs since the first crash. */
  completions: number;
  expiresAt: Milliseconds;
}

interface Suspect {
  strikes: number;
  expiresAt: Milliseconds;
}

interface PartSet extends Suspect {
  parts: readonly string[];
}

interface KnownPart {
  completedAt: Milliseconds;
  crashesSince: number;
}

export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #suspects = new Map<string, Suspect>();
  readonly #crashRecords = new Map<string, CrashRecord>();
  /** Suspect sets of parts by their keys. */
  readonly #partSets = new Map<string, PartSet>();
  /** Parts with completed runs, least recent first. */
  readonly #knownParts = new Map<string, KnownPart>();

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Records that an upstream crashed while it ran the request. */
  recordCrash(
    { fingerprint, sharedParts }: RequestTraits,
    wasAlone: boolean,
    now: Milliseconds,
  ): void {
    const strikes = wasAlone ? 1 : 0;
    const expiresAt = now + this.#options.strikeLifetimeMs;
    const hasCrashedOften = this.#countCrash(fingerprint, expiresAt, now);
    const counted = this.#getStrikes(fingerprint, now) + strikes;
    this.#setSuspect(fingerprint, {
      strikes: hasCrashedOften
        ? Math.max(counted, 1, this.#options.maxStrikes - 1)
        : counted,
      expiresAt,
    });
    const parts = sharedParts.filter((part) => this.#recordPartCrash(part));
    if (parts.length === 0) return;
    for (const set of this.#listPartSets(now)) {
      const common = set.parts.filter((part) => parts.includes(part));
      if (common.length === 0) continue;
      this.#addPartSet(common, set.strikes + strikes, expiresAt);
    }
    this.#addPartSet(parts, strikes, expiresAt);
  }

  /**
   * Clears the parts of a completed run, and the request itself if it ran
   * exclusively.
   */
  recordCompletion(
    { fingerprint, sharedParts }: RequestTraits,
    wasAlone: boolean,
    now: Milliseconds,
  ): void {
    if (wasAlone) this.#suspects.delete(fingerprint);
    const record = this.#crashRecords.get(fingerprint);
    if (record) record.completions += 1;
    for (const part of sharedParts) {
      this.#knownParts.delete(part);
      this.#knownParts.set(part, { completedAt: now, crashesSince: 0 });
    }
    removeOldest(this.#knownParts, MAX_KNOWN_PARTS);
    for (const set of this.#listPartSets(now)) {
      const rest = set.parts.filter((part) => !sharedParts.includes(part));
      if (rest.length === set.parts.length) continue;
      this.#partSets.delete(formatPartsKey(set.parts));
      if (rest.length > 0) this.#addPartSet(rest, set.strikes, set.expiresAt);
    }
  }

  /**
   * Merges a peer's strikes; never lowers a count. A run that completed here
   * since the crash counts more than the peer's word.
   */
  mergeDigests(digests: readonly StrikeDigest[], now: Milliseconds): void {
    const { strikeLifetimeMs } = this.#options;
    for (const { fingerprint: key, strikes, expiresInMs } of digests) {
      const lifetimeMs = Math.min(expiresInMs, strikeLifetimeMs);
      const expiresAt = now + lifetimeMs;
      const parts = parsePartsKey(key);
      if (parts) {
        const crashedAt = expiresAt - strikeLifetimeMs;
        const rest = parts.filter((part) => {
          const known = this.#knownParts.get(part);
          return known === undefined || known.completedAt < crashedAt;
        });
        if (rest.length > 0) this.#addPartSet(rest, strikes, expiresAt);
        continue;
      }
      const known = this.#getSuspect(key, now);
      if (known && strikes <= known.strikes) continue;
      this.#setSuspect(key, { strikes, expiresAt });
    }
  }

  /** Returns whether the request must run exclusively. */
  isSuspect(traits: RequestTraits, now: Milliseconds): boolean {
    return this.#getSuspect(traits.fingerprint, now) !== undefined ||
      this.#listHeldSets(traits, now).length > 0;
  }

  /**
   * Returns whether the request is refused: it has crashed an upstream while it
   * ran exclusively, and its strikes together with the shared upstream whose
   * crash made it a suspect reach the limit; or a set of parts that it holds has
   * as many strikes as the limit.
   */
  isQuarantined(traits: RequestTraits, now: Milliseconds): boolean {
    return this.#listQuarantined(traits, now).length > 0;
  }

  /** Returns the time left until the request may run again. */
  getRemainingMs(traits: RequestTraits, now: Milliseconds): Milliseconds {
    const times = this.#listQuarantined(traits, now)
      .map(({ expiresAt }) => expiresAt - now);
    return Math.max(0, ...times);
  }

  /** Returns the most recent suspects, to be sent to peers. */
  getDigests(now: Milliseconds): StrikeDigest[] {
    const digests: StrikeDigest[] = [];
    for (const [fingerprint, { strikes, expiresAt }] of this.#suspects) {
      if (expiresAt <= now) this.#suspects.delete(fingerprint);
      else digests.push({ fingerprint, strikes, expiresInMs: expiresAt - now });
    }
    const partDigests = this.#listPartSets(now).map((set) => ({
      fingerprint: formatPartsKey(set.parts),
      strikes: set.strikes,
      expiresInMs: set.expiresAt - now,
    })).sort((a, b) => a.strikes - b.strikes);
    return [...digests, ...partDigests].slice(-MAX_DIGEST_STRIKES);
  }

  /** Counts a crash; returns whether the request is to be refused for it. */
  #countCrash(
    fingerprint: string,
    expiresAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const known = this.#crashRecords.get(fingerprint);
    const isCurrent = known !== undefined && known.expiresAt > now &&
      known.completions < SOUND_COMPLETIONS;
    const record = {
      crashes: (isCurrent ? known.crashes : 0) + 1,
      completions: isCurrent ? known.completions : 0,
      expiresAt,
    };
    this.#crashRecords.delete(fingerprint);
    this.#crashRecords.set(fingerprint, record);
    removeOldest(this.#crashRecords, MAX_CRASH_RECORDS);
    return record.crashes >= MAX_CRASHES;
  }

  #listQuarantined(traits: RequestTraits, now: Milliseconds): Suspect[] {
    const { maxStrikes } = this.#options;
    const request = this.#getSuspect(traits.fingerprint, now);
    const isRequestRefused = request !== undefined && request.strikes >= 1 &&
      request.strikes + 1 >= maxStrikes;
    const sets = this.#listHeldSets(traits, now)
      .filter(({ strikes }) => strikes >= Math.max(1, maxStrikes));
    return isRequestRefused ? [request, ...sets] : sets;
  }

  /** Returns the suspect sets all of whose parts the request has. */
  #listHeldSets(
    { sharedParts }: RequestTraits,
    now: Milliseconds,
  ): PartSet[] {
    if (sharedParts.length === 0) return [];
    return this.#listPartSets(now).filter(({ parts }) =>
      parts.every((part) => sharedParts.includes(part))
    );
  }

  #listPartSets(now: Milliseconds): PartSet[] {
    for (const [key, { expiresAt }] of this.#partSets) {
      if (expiresAt <= now) this.#partSets.delete(key);
    }
    return [...this.#partSets.values()];
  }

  /** Counts a crash of the part; returns whether it is suspected now. */
  #recordPartCrash(part: string): boolean {
    const known = this.#knownParts.get(part);
    if (!known) return true;
    known.crashesSince += 1;
    return known.crashesSince >= SOUND_PART_CRASHES;
  }

  #addPartSet(
    parts: readonly string[],
    strikes: number,
    expiresAt: Milliseconds,
  ): void {
    const bounded = [...parts].sort().slice(0, MAX_SET_PARTS);
    const key = formatPartsKey(bounded);
    const known = this.#partSets.get(key);
    this.#partSets.delete(key);
    this.#partSets.set(key, {
      parts: bounded,
      strikes: Math.max(strikes, known?.strikes ?? 0),
      expiresAt: Math.max(expiresAt, known?.expiresAt ?? expiresAt),
    });
    removeOldest(this.#partSets, MAX_PART_SETS);
  }

  #getStrikes(fingerprint: string, now: Milliseconds): number {
    return this.#getSuspect(fingerprint, now)?.strikes ?? 0;
  }

  #getSuspect(fingerprint: string, now: Milliseconds): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect && suspect.expiresAt > now ? suspect : undefined;
  }

  #setSuspect(fingerprint: string, suspect: Suspect): void {
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    removeOldest(this.#suspects, MAX_SUSPECTS);
  }
}

/** Removes the entries that were added first, down to the maximum size. */
function removeOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}

/** Starts the keys that stand for sets of parts among the strikes of requests. */
const PARTS_PREFIX = "parts:";
const PART_SEPARATOR = "+";

function formatPartsKey(parts: readonly string[]): string {
  return PARTS_PREFIX + parts.join(PART_SEPARATOR);
}

/** Returns the parts that a key stands for; undefined for a fingerprint. */
function parsePartsKey(key: string): string[] | undefined {
  return key.startsWith(PARTS_PREFIX)
    ? key.slice(PARTS_PREFIX.length).split(PART_SEPARATOR)
    : undefined;
}
