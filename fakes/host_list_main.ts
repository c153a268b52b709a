#!/usr/bin/env node
/** Command-line program that runs the fake host list. */
import process from "node:process";
import sade from "sade";
import { FakeHostList } from "./fake_host_list.ts";
import { runFake } from "./fake_server.ts";

sade("fake_host_list", true)
  .describe("Runs a fake host list on a loopback port.")
  .option("--port", "Port to listen on; 0 selects a free port", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeHostList(), options.port);
  })
  .parse(process.argv);
