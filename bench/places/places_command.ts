/** `bench places`: which adapter yields its place, against other rules on the same demand. */
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import { createPlacesDemand, PLACES_SITES } from "./places_demand.ts";
import { runPlaces, YieldRule } from "./places_simulation.ts";

export const placesCommand: Subcommand = {
  name: "places",
  description: "Loads and waits under four rules for which adapter yields",
  options: [
    { flags: "--seconds", description: "Length of the demand", value: 120 },
    { flags: "--seed", description: "Seed of the first demand", value: 1 },
    { flags: "--seeds", description: "Demands, one a seed", value: 5 },
  ],
  run: (options: SubcommandArguments) => {
    const spanMs = 1_000 * Number(options.seconds);
    const first = Number(options.seed);
    for (const site of PLACES_SITES) {
      for (let seed = first; seed < first + Number(options.seeds); seed += 1) {
        const demand = createPlacesDemand(site, spanMs, seed);
        for (const rule of Object.values(YieldRule)) {
          const { requests, fetches, reloads, meanWaitMs, slowShare } =
            runPlaces(site, demand, rule);
          console.log(
            `${site.name} seed ${seed} ${rule}: ${requests} requests, ` +
              `${fetches} fetches, ${reloads} reloads, ` +
              `${meanWaitMs.toFixed(0)} ms of wait, ` +
              `${(100 * slowShare).toFixed(1)} % beyond 500 ms`,
          );
        }
      }
    }
  },
};
