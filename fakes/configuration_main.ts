#!/usr/bin/env node
/** Command-line program that runs the fake configuration service. */
import process from "node:process";
import sade from "sade";
import { FakeConfiguration } from "./fake_configuration.ts";
import { runFake } from "./fake_server.ts";

sade("fake_configuration", true)
  .describe("Runs a fake configuration service on a loopback port.")
  .option("--port", "Port to listen on; 0 selects a free port", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeConfiguration(), options.port);
  })
  .parse(process.argv);
