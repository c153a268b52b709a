#!/usr/bin/env node
/** Command-line program that runs the fake plain service. */
import process from "node:process";
import sade from "sade";
import { FakeService } from "./fake_service.ts";
import { runFake } from "./fake_server.ts";

sade("fake_service", true)
  .describe("Runs a fake plain service on a loopback port.")
  .option("--port", "Port to listen on; 0 selects a free port", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeService(), options.port);
  })
  .parse(process.argv);
