#!/usr/bin/env node
/** Program that stands in for a model engine. */
import process from "node:process";
import sade from "sade";
import { FakeEngine } from "./fake_engine.ts";
import { runFake } from "./fake_server.ts";

sade("fake_engine", true)
  .describe("Stands in for a model engine on a loopback port.")
  .option("--port", "Port; 0 for a free one", 0)
  .option("--slots", "Adapter slots", 4)
  .option("--batch-size", "Requests run at once", 8)
  .option("--fencing", "checked or ignored", "checked")
  .option("--store", "Address of the weight store", "")
  .option("--load-time-ms", "Time of a load without a store", 250)
  .option("--token-interval-ms", "Time between tokens", 20)
  .option("--tokens", "Tokens of an answer", 20)
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
