/**
 * Turns of isolated daemons, which know no other daemon although there may be
 * some: all their seeds are stale or down. Such daemons cannot rank the
 * claimants of an engine, as each of them knows only itself. What they share is
 * the engine's age, and how the hosts are numbered: a daemon's turn follows from
 * its own host's number and failure domain alone. Consecutive ordinals get turns
 * far apart, by the radical inverse: the fewer hosts there are, the further.
 */
import { hashText } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import { CONTESTED_WINDOW_MS } from "./engine_ownership.ts";
import {
  computeTurnDelayMs,
  LOAD_SEND_WINDOW_MS,
  LOAD_TURN_MS,
} from "./turn_timing.ts";

/**
 * Number of turns in which each isolated daemon has one to load a base model:
 * consecutive ordinals, as many, have different ones.
 */
const LOAD_TURNS = 32;
const LOAD_CYCLE_MS = LOAD_TURNS * LOAD_TURN_MS;
/**
 * From when in a turn the load may be sent, and for how long: between the times
 * at which daemons that hear a majority send theirs.
 */
const LOAD_OFFSET_MS = LOAD_SEND_WINDOW_MS + 10;
const LOAD_WINDOW_MS = 50;
/** Maximum time by which daemons that share a turn send later than its first. */
const MAX_SHARED_OFFSET_MS = 40;

/** Number of consecutive ordinals whose evictions never coincide. */
const EVICTING_HOSTS = 64;
/** Of these, the lowest, which have turns to evict more frequently. */
const FREQUENT_HOSTS = 16;
/** Part of a turn in which an adapter may be evicted, and the turn's length. */
const EVICTION_WINDOW_MS = 200;
const EVICTION_TURN_MS = EVICTION_WINDOW_MS + CONTESTED_WINDOW_MS;

/** What distinguishes a host from all others, whichever of them are known. */
export interface HostIdentity {
  /** Name of the host, which ends in its number within its failure domain. */
  host: string;
  failureDomain: string;
  /** All failure domains, in the same order on every host. */
  failureDomains: readonly string[];
}

/**
 * Returns a number that differs from host to host and is small where the names
 * of the hosts end in numbers; otherwise it is a hash.
 */
export function computeHostOrdinal(
  { host, failureDomain, failureDomains }: HostIdentity,
): number {
  const digits = /\d{1,9}$/.exec(host)?.[0];
  if (digits === undefined) return hashText(host);
  const domain = Math.max(0, failureDomains.indexOf(failureDomain));
  return Number(digits) * Math.max(1, failureDomains.length) + domain;
}

/**
 * Returns the time until an isolated daemon may load the base model of an engine
 * of this age: 0 if it has its turn.
 */
export function computeLoadDelayMs(
  ordinal: number,
  engineAgeMs: Milliseconds,
): Milliseconds {
  const position = computeRadicalInverse(ordinal) * LOAD_TURNS;
  const turn = Math.floor(position);
  return computeTurnDelayMs({
    startMs: turn * LOAD_TURN_MS + LOAD_OFFSET_MS +
      (position - turn) * MAX_SHARED_OFFSET_MS,
    cycleMs: LOAD_CYCLE_MS,
    windowMs: LOAD_WINDOW_MS,
  }, engineAgeMs);
}

/** A turn of an isolated daemon to evict an adapter. */
export interface EvictionTurn {
  /** Index of the adapter among those that are divided. */
  share: number;
  /** Time until the turn begins; 0 if the adapter may be evicted now. */
  delayMs: Milliseconds;
}

/**
 * Returns the current or the next turn, if it is this daemon's. Hosts share an
 * index only at different times, so that each sees the other's eviction.
 */
export function findEvictionTurn(
  ordinal: number,
  adapters: number,
  engineAgeMs: Milliseconds,
): EvictionTurn | undefined {
  if (adapters === 0) return undefined;
  const group = Math.floor(ordinal / adapters);
  const share = ordinal % adapters;
  const turn = Math.floor(engineAgeMs / EVICTION_TURN_MS);
  const sinceTurnMs = engineAgeMs - turn * EVICTION_TURN_MS;
  if (
    sinceTurnMs < EVICTION_WINDOW_MS && isGroupTurn(group, adapters, turn)
  ) return { share, delayMs: 0 };
  return isGroupTurn(group, adapters, turn + 1)
    ? { share, delayMs: EVICTION_TURN_MS - sinceTurnMs }
    : undefined;
}

/**
 * Returns whether a turn is that of a group of hosts, each of which has another
 * adapter: one of the frequent groups, which alternate, or one of the others,
 * which share the remaining turn of each cycle.
 */
function isGroupTurn(group: number, adapters: number, turn: number): boolean {
  const groups = Math.ceil(EVICTING_HOSTS / adapters);
  const frequentGroups = Math.min(
    groups - 1,
    Math.ceil(FREQUENT_HOSTS / adapters),
  );
  const ownGroup = group % groups;
  const turnInCycle = turn % (frequentGroups + 1);
  if (ownGroup < frequentGroups) return turnInCycle === ownGroup;
  const cycle = Math.floor(turn / (frequentGroups + 1));
  const otherGroups = groups - frequentGroups;
  return turnInCycle === frequentGroups &&
    cycle % otherGroups === ownGroup - frequentGroups;
}

/**
 * Returns the binary digits of a natural number mirrored at the point, from 0 up
 * to 1 (van der Corput sequence).
 */
function computeRadicalInverse(ordinal: number): number {
  let fraction = 0;
  let digitValue = 0.5;
  for (let rest = ordinal; rest > 0; rest = Math.floor(rest / 2)) {
    fraction += (rest % 2) * digitValue;
    digitValue /= 2;
  }
  return fraction;
}
