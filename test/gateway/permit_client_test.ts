/** Reports of a gateway's runs to the new owners of engines. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetView } from "../../src/core/fleet/fleet_view.ts";
import { PermitClient } from "../../src/gateway/permit_client.ts";
import { buildHeartbeat } from "../core/fleet/heartbeat_builder.ts";

const SELF = { id: "self", ip: "10.0.0.1", failureDomain: "a" };

/** Returns the reports that a gateway sends when all engines have new owners. */
function reportToNewOwners(fleetSize: number, engines: number): string[] {
  const fleet = new FleetView(SELF);
  for (let index = 2; index <= fleetSize; index += 1) {
    const id = `host-${index}`;
    const ip = `10.0.0.${index}`;
    fleet.recordHeartbeat(
      buildHeartbeat({ id, ip, failureDomain: "a" }),
      0,
    );
  }
  const reports: string[] = [];
  const client = new PermitClient({
    selfId: SELF.id,
    termMs: 3_000,
    fleet,
    isOwnedLocally: () => false,
    isStopping: () => false,
    listOwners: () =>
      new Map(
        Array.from({ length: engines }, (_, each) => [`e${each}`, "host-2"]),
      ),
    send: (_peerId, message) => {
      if (message.kind === "runsHeld") {
        reports.push(`${message.engineId} ${message.total}`);
      }
      return Promise.resolve(true);
    },
    sendOnce: () => {},
  });
  client.addRun({
    engineId: "e1",
    permitId: "p",
    reportedTo: undefined,
    adapterPath: "m/a",
    promptTokens: 1,
    outputTokens: 1,
    promptParts: [],
    startedAt: 0,
    endsAt: 1_000,
  });
  client.reportRunsToNewOwners(10);
  return reports;
}

test("a large fleet is not flooded with empty reports when all owners change", () => {
  assert.equal(reportToNewOwners(84, 63), ["e1 1"]);
});

test("in a small fleet an owner is also told that a gateway has no runs", () => {
  assert.equal(reportToNewOwners(3, 3), ["e0 0", "e1 1", "e2 0"]);
});

test.run();
