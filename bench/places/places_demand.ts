/**
 * Generates requests for adapters from a seed, with the rates and popularity of
 * a busy day at the users' sites.
 */
import type { Milliseconds } from "../../src/core/structures.ts";
import {
  ZipfPopularity,
  type ZipfPopularityOptions,
} from "../policy/popularity_law.ts";
import { createRandom } from "../policy/random.ts";

export interface SiteProfile extends ZipfPopularityOptions {
  name: string;
  engines: number;
  slotsPerEngine: number;
  requestsPerSecond: number;
}

export interface AdapterRequest {
  at: Milliseconds;
  adapter: number;
  /** How long the run uses its adapter, which cannot be evicted meanwhile. */
  runMs: Milliseconds;
}

/**
 * The standard sites, from their specifications and site files. The request
 * rates are those of their engines.
 */
export const SITE_PROFILES: readonly SiteProfile[] = [
  {
    name: "feedline-tas",
    engines: 13,
    slotsPerEngine: 8,
    adapters: 3_000,
    zipfExponent: 1.2,
    requestsPerSecond: 50,
  },
  {
    name: "lyktverk-drift",
    engines: 6,
    slotsPerEngine: 8,
    adapters: 3_000,
    zipfExponent: 1.3,
    requestsPerSecond: 22,
  },
];

/**
 * Durations of a long and a short generation, measured on the standard
 * benchmark days.
 */
const LONG_RUN_MS = 4_000;
const SHORT_RUN_MS = 1_200;
/** Fraction of the requests that are long generations. */
const LONG_RUN_FRACTION = 0.59;
/**
 * Interval between changes of popularity, in which some adapters swap ranks.
 */
const RANK_CHANGE_INTERVAL_MS = 6_000;
/**
 * Number of swapped pairs per adapter: about two adapters in ten change rank.
 */
const SWAPPED_PAIRS_PER_ADAPTER = 0.1;

export function createAdapterRequests(
  site: SiteProfile,
  durationMs: Milliseconds,
  seed: number,
): AdapterRequest[] {
  const random = createRandom(seed);
  const popularity = new ZipfPopularity(site, random);
  const requests: AdapterRequest[] = [];
  let nextRankChangeAt = RANK_CHANGE_INTERVAL_MS;
  let at = 0;
  while (at < durationMs) {
    for (
      ;
      at >= nextRankChangeAt;
      nextRankChangeAt += RANK_CHANGE_INTERVAL_MS
    ) {
      popularity.swapRandomRanks(site.adapters * SWAPPED_PAIRS_PER_ADAPTER);
    }
    const isLongRun = random() < LONG_RUN_FRACTION;
    requests.push({
      at,
      adapter: popularity.drawAdapter(),
      runMs: isLongRun ? LONG_RUN_MS : SHORT_RUN_MS,
    });
    at += -Math.log(1 - random()) * 1_000 / site.requestsPerSecond;
  }
  return requests;
}
