#!/usr/bin/env node
/** Program that stands in for the host list. */
import process from "node:process";
import sade from "sade";
import { FakeHostList } from "./fake_host_list.ts";
import { runFake } from "./fake_server.ts";

sade("fake_host_list", true)
  .describe("Stands in for the host list on a loopback port.")
  .option("--port", "Port; 0 for a free one", 0)
  .action(async (options: { port: number }) => {
    await runFake(new FakeHostList(), options.port);
  })
  .parse(process.argv);
