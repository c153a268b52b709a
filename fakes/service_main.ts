#!/usr/bin/env node
/** Program that stands in for a plain service. */
import process from "node:process";
import sade from "sade";
import { FakeService } from "./fake_service.ts";
import { runFake } from "./fake_server.ts";

sade("fake_service", true)
  .describe("Stands in for a plain service on a loopback port.")
  .option("--port", "Port; 0 for a free one", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeService(), options.port);
  })
  .parse(process.argv);
