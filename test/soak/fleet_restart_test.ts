/**
 * Guards against a fleet that loads no adapters for a whole term after all
 * gateways were killed at once, as in a power failure. New processes that do
 * not detect that the engines have no owner observe each engine for a whole
 * term before they claim it.
 */
import { Agent } from "node:http";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { reservePorts } from "../port_reservation.ts";
import { SoakFleet } from "./soak_fleet.ts";
import { callGateway } from "./soak_run.ts";

const GATEWAYS = 3;
/**
 * Much longer than the start of three processes, so that a wait for a whole
 * term is noticed.
 */
const TERM_MS = 12_000;

test("after a restart of the whole fleet engines load before a term is over", async () => {
  const ports = await reservePorts(process.pid);
  const fleet = new SoakFleet(ports.port, TERM_MS);
  const agent = new Agent({ keepAlive: false });
  const countOrders = () =>
    fleet.engines.map((engine) =>
      engine.receivedOrders.filter((order) => order.status < 300).length
    );
  let calls = 0;
  /**
   * Sends requests for new adapters until the given number of engines have
   * accepted an order; returns false if they have not by the deadline.
   */
  const waitForOrders = async (
    engines: number,
    endsAt: number,
  ): Promise<boolean> => {
    const before = countOrders();
    const countOrdered = () =>
      countOrders().filter((count, index) => count > (before[index] ?? 0))
        .length;
    while (countOrdered() < engines && Date.now() < endsAt) {
      calls += 1;
      const gateway = fleet.gateways[calls % GATEWAYS];
      await callGateway(agent, `${gateway?.ip}:${fleet.port}`, "/brief/", {
        id: `call-${calls}`,
        adapter: `a${calls}`,
      });
      await waitMs(50);
    }
    return countOrdered() >= engines;
  };
  await fleet.start(GATEWAYS);
  try {
    // An engine that has never accepted an order would be claimed immediately
    // in any case.
    const all = fleet.engines.length;
    const startDeadline = Date.now() + 3 * TERM_MS;
    assert.ok(await waitForOrders(all, startDeadline), "before the kill");
    const killedAt = Date.now();
    for (const gateway of fleet.gateways) fleet.signal(gateway, "SIGKILL");
    assert.ok(await waitForOrders(1, killedAt + TERM_MS), "after the kill");
  } finally {
    agent.destroy();
    await fleet.stop();
    ports.release();
  }
});

test.run();
