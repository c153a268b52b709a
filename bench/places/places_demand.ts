/** Demand for adapters as on a busy day of the users' sites, drawn from a seed. */
import type { Milliseconds } from "../../src/core/structures.ts";
import {
  PopularityLaw,
  type PopularityLawOptions,
} from "../policy/popularity_law.ts";
import { createRandom } from "../policy/random.ts";

export interface PlacesSite extends PopularityLawOptions {
  name: string;
  engines: number;
  slotsPerEngine: number;
  requestsPerSecond: number;
}

export interface AdapterDemand {
  at: Milliseconds;
  adapter: number;
  /** Time for which the run holds its adapter. */
  holdMs: Milliseconds;
}

/** The standard sites' sheets and site files; requests a second of their engines. */
export const PLACES_SITES: readonly PlacesSite[] = [
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

/** Time of a long generation and of a short one, as measured on the standard days. */
const LONG_HOLD_MS = 4_000;
const SHORT_HOLD_MS = 1_200;
/** Part of the requests that are long generations. */
const LONG_SHARE = 0.59;
/** Period in which some adapters change ranks, and pairs that do for each adapter: two in ten change. */
const SHIFT_PERIOD_MS = 6_000;
const SHIFTING_PAIRS_PER_ADAPTER = 0.1;

export function createPlacesDemand(
  site: PlacesSite,
  spanMs: Milliseconds,
  seed: number,
): AdapterDemand[] {
  const random = createRandom(seed);
  const law = new PopularityLaw(site, random);
  const demand: AdapterDemand[] = [];
  let shiftAt = SHIFT_PERIOD_MS;
  let at = 0;
  while (at < spanMs) {
    for (; at >= shiftAt; shiftAt += SHIFT_PERIOD_MS) {
      law.changeSomeRanks(site.adapters * SHIFTING_PAIRS_PER_ADAPTER);
    }
    const isLong = random() < LONG_SHARE;
    demand.push({
      at,
      adapter: law.draw(),
      holdMs: isLong ? LONG_HOLD_MS : SHORT_HOLD_MS,
    });
    at += -Math.log(1 - random()) * 1_000 / site.requestsPerSecond;
  }
  return demand;
}
