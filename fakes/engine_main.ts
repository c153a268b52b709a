#!/usr/bin/env node
/** Command-line program that runs the fake model engine. */
import process from "node:process";
import sade from "sade";
import { FakeEngine } from "./fake_engine.ts";
import { runFake } from "./fake_server.ts";

sade("fake_engine", true)
  .describe("Runs a fake model engine on a loopback port.")
  .option("--port", "Port to listen on; 0 selects a free port", 0)
  .option("--slots", "Number of adapter slots", 4)
  .option("--batch-size", "Maximum number of concurrent requests", 8)
  .option(
    "--fencing",
    "Whether fencing numbers are checked or ignored",
    "checked",
  )
  .option("--store", "Address of the weight store", "")
  .option("--load-time-ms", "Duration of a load when no store is set", 250)
  .option("--token-interval-ms", "Interval between tokens", 20)
  .option("--tokens", "Number of tokens per answer", 20)
  .action(async (options: {
    port: number;
    slots: number;
    "batch-size": number;
    fencing: string;
    store: string;
    "load-time-ms": number;
    "token-interval-ms": number;
    tokens: number;
  }) => {
    await runFake(
      new FakeEngine({
        slots: options.slots,
        batchSize: options["batch-size"],
        checksFencing: options.fencing === "checked",
        ...(options.store === "" ? {} : { storeAddress: options.store }),
        loadTimeMs: options["load-time-ms"],
        tokenIntervalMs: options["token-interval-ms"],
        tokens: options.tokens,
      }),
      options.port,
    );
  })
  .parse(process.argv);
