#!/usr/bin/env node
/** Command-line program that runs the fake weight store. */
import process from "node:process";
import sade from "sade";
import { FakeStore } from "./fake_store.ts";
import { runFake } from "./fake_server.ts";

sade("fake_store", true)
  .describe("Runs a fake weight store on a loopback port.")
  .option("--port", "Port to listen on; 0 selects a free port", 0)
  .option("--loads-per-second", "Maximum rate of loads", 4)
  .option("--load-time-ms", "Duration of one load", 250)
  .option(
    "--max-in-flight",
    "Number of concurrent loads above which loads slow down",
    8,
  )
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
