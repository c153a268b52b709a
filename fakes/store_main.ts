#!/usr/bin/env node
/** Program that stands in for the weight store. */
import process from "node:process";
import sade from "sade";
import { FakeStore } from "./fake_store.ts";
import { runFake } from "./fake_server.ts";

sade("fake_store", true)
  .describe("Stands in for the weight store on a loopback port.")
  .option("--port", "Port; 0 for a free one", 0)
  .option("--loads-per-second", "Rate of loads", 4)
  .option("--load-time-ms", "Time of one load", 250)
  .option("--max-in-flight", "Loads in flight without slowdown", 8)
  .action(async (options: {
    port: number;
    "loads-per-second": number;
    "load-time-ms": number;
    "max-in-flight": number;
  }) => {
    await runFake(
      new FakeStore({
        loadsPerSecond: options["loads-per-second"],
        loadTimeMs: options["load-time-ms"],
        maxInFlight: options["max-in-flight"],
      }),
      options.port,
    );
  })
  .parse(process.argv);
