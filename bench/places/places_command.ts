/** `bench places`: compares adapter eviction policies on the same requests. */
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import { createAdapterRequests, SITE_PROFILES } from "./places_demand.ts";
import { EvictionPolicy, runEvictionSimulation } from "./places_simulation.ts";

export const placesCommand: Subcommand = {
  name: "places",
  description: "Loads and waits under four rules for which adapter yields",
  options: [
    { flags: "--seconds", description: "Length of the demand", value: 120 },
    { flags: "--seed", description: "Seed of the first demand", value: 1 },
    { flags: "--seeds", description: "Demands, one a seed", value: 5 },
  ],
  run: (options: SubcommandArguments) => {
    const durationMs = 1_000 * Number(options.seconds);
    const firstSeed = Number(options.seed);
    for (const site of SITE_PROFILES) {
      for (
        let seed = firstSeed;
        seed < firstSeed + Number(options.seeds);
        seed += 1
      ) {
        const workload = createAdapterRequests(site, durationMs, seed);
        for (const policy of Object.values(EvictionPolicy)) {
          const { requests, fetches, reloads, meanWaitMs, slowFraction } =
            runEvictionSimulation(site, workload, policy);
          console.log(
            `${site.name} seed ${seed} ${policy}: ${requests} requests, ` +
              `${fetches} fetches, ${reloads} reloads, ` +
              `${meanWaitMs.toFixed(0)} ms of wait, ` +
              `${(100 * slowFraction).toFixed(1)} % beyond 500 ms`,
          );
        }
      }
    }
  },
};
