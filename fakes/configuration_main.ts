#!/usr/bin/env node
/** Program that stands in for the configuration service. */
import process from "node:process";
import sade from "sade";
import { FakeConfiguration } from "./fake_configuration.ts";
import { runFake } from "./fake_server.ts";

sade("fake_configuration", true)
  .describe("Stands in for the configuration service on a loopback port.")
  .option("--port", "Port; 0 for a free one", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeConfiguration(), options.port);
  })
  .parse(process.argv);
