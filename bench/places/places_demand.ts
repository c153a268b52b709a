/** Demand for adapters as on a busy day of the users' sites, drawn from a seed. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Milliseconds } from "../../src/core/structures.ts";

export interface PlacesSite {
  name: string;
  engines: number;
  slotsPerEngine: number;
  adapters: number;
  /** Exponent of the Zipf law of their popularity. */
  skew: number;
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
    skew: 1.2,
    requestsPerSecond: 50,
  },
  {
    name: "lyktverk-drift",
    engines: 6,
    slotsPerEngine: 8,
    adapters: 3_000,
    skew: 1.3,
    requestsPerSecond: 22,
  },
];

/** Time of a long generation and of a short one, as measured on the standard days. */
const LONG_HOLD_MS = 4_000;
const SHORT_HOLD_MS = 1_200;
/** Part of the requests that are long generations, in thousandths. */
const LONG_PER_MILLE = 590;
/** Period in which some adapters change ranks, and how many thousandths of them do. */
const SHIFT_PERIOD_MS = 6_000;
const SHIFTED_PER_MILLE = 100;
const RESOLUTION = 0x7fff_ffff;

export function createPlacesDemand(
  site: PlacesSite,
  spanMs: Milliseconds,
  seed: number,
): AdapterDemand[] {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number) => uniformInt(generator, from, to);
  const drawShare = () => draw(1, RESOLUTION) / RESOLUTION;
  const cumulative: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= site.adapters; rank += 1) {
    sum += rank ** -site.skew;
    cumulative.push(sum);
  }
  const holders = Array.from({ length: site.adapters }, (_, index) => index);
  const demand: AdapterDemand[] = [];
  let shiftAt = SHIFT_PERIOD_MS;
  for (
    let at = 0;
    at < spanMs;
    at += -Math.log(drawShare()) * 1_000 / site.requestsPerSecond
  ) {
    if (at >= shiftAt) {
      shiftAt += SHIFT_PERIOD_MS;
      const shifts = site.adapters * SHIFTED_PER_MILLE / 1_000;
      for (let shift = 0; shift < shifts; shift += 1) {
        const [a, b] = [
          draw(0, site.adapters - 1),
          draw(0, site.adapters - 1),
        ];
        [holders[a], holders[b]] = [holders[b] ?? 0, holders[a] ?? 0];
      }
    }
    const wanted = drawShare() * sum;
    const rank = Math.max(0, cumulative.findIndex((each) => each >= wanted));
    const isLong = draw(0, 999) < LONG_PER_MILLE;
    demand.push({
      at,
      adapter: holders[rank] ?? 0,
      holdMs: isLong ? LONG_HOLD_MS : SHORT_HOLD_MS,
    });
  }
  return demand;
}
