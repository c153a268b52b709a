/** Retries stay within each daemon's part of the fleet-wide budget. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetView } from "../../../src/core/fleet/fleet_view.ts";
import { buildHeartbeat } from "../fleet/heartbeat_builder.ts";
import {
  countSharingDaemons,
  FleetRetryBudget,
} from "../../../src/core/limits/fleet_retry_budget.ts";

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 58 };

function spendAll(
  budget: FleetRetryBudget,
  daemons: number | undefined,
  now: number,
): number {
  let spent = 0;
  while (budget.trySpend("s", daemons, now)) spent += 1;
  return spent;
}

test("nine daemons whose requests all fail stay within the fleet-wide budget", () => {
  const requestsEach = 60;
  let retries = 0;
  for (let daemon = 0; daemon < 9; daemon += 1) {
    const budget = new FleetRetryBudget(OPTIONS);
    for (let index = 0; index < requestsEach; index += 1) {
      budget.recordArrival("s", index * 100);
    }
    retries += spendAll(budget, 9, 6_000);
  }
  const limit = OPTIONS.ratio * 9 * requestsEach + OPTIONS.slack;
  assert.ok(retries > 0 && retries <= limit, `${retries} of ${limit}`);
});

test("nine daemons that can't hear each other any more stay within the fleet-wide budget", () => {
  const ids = Array.from({ length: 9 }, (_, index) => `host-${index}`);
  const silentAt = 10_000;
  let retries = 0;
  for (const id of ids) {
    const fleet = new FleetView({ id, ip: id, failureDomain: "a" });
    for (const peer of ids.filter((each) => each !== id)) {
      const member = { id: peer, ip: peer, failureDomain: "a" };
      fleet.recordHeartbeat(buildHeartbeat(member), 0);
    }
    assert.is(fleet.countAlive(silentAt), 1);
    const daemons = countSharingDaemons(fleet, silentAt);
    retries += spendAll(new FleetRetryBudget(OPTIONS), daemons, silentAt);
  }
  assert.ok(retries > 0 && retries <= OPTIONS.slack, `${retries}`);
});

// Guards against gateways that each spend the whole slack because all their
// seeds are stale and they know nobody (BUDGET).
test("nine daemons that have never heard each other stay within the fleet-wide budget", () => {
  let retries = 0;
  for (let index = 0; index < 9; index += 1) {
    const self = { id: `${index}`, ip: `${index}`, failureDomain: "a" };
    const fleet = new FleetView(self, 0, ["stale"]);
    const daemons = countSharingDaemons(fleet, 0);
    retries += spendAll(new FleetRetryBudget(OPTIONS), daemons, 0);
  }
  assert.ok(retries > 0 && retries <= OPTIONS.slack, `${retries}`);
});

// Guards against the parts of a fleet that forget each other in a long cut and
// then each spend the whole slack (BUDGET).
test("two parts of nine daemons that were cut off from each other for two minutes stay within the fleet-wide budget", () => {
  const members = Array.from({ length: 9 }, (_, index) => ({
    id: `${index}`,
    ip: `${index}`,
    failureDomain: "a",
  }));
  const now = 120_000;
  let retries = 0;
  for (const [index, self] of members.entries()) {
    const fleet = new FleetView(self, 0, ["0", "4", "8"]);
    for (const [other, peer] of members.entries()) {
      if (other === index) continue;
      fleet.recordHeartbeat(buildHeartbeat(peer), 0);
      const isHeard = (other < 4) === (index < 4);
      if (isHeard) {
        fleet.recordHeartbeat(buildHeartbeat(peer, { beat: 9 }), now);
      }
    }
    const daemons = countSharingDaemons(fleet, now);
    retries += spendAll(new FleetRetryBudget(OPTIONS), daemons, now);
  }
  assert.ok(retries > 0 && retries <= OPTIONS.slack, `${retries}`);
});

test("each service has its own budget, which is renewed when the window has passed", () => {
  const budget = new FleetRetryBudget(OPTIONS);
  const first = spendAll(budget, 9, 0);
  assert.ok(first > 0);
  assert.ok(budget.trySpend("other", 9, 0));
  assert.is(spendAll(budget, 9, 9_999), 0);
  assert.is(spendAll(budget, 9, 10_000), first);
});

test.run();
