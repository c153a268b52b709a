/**
 * Customers' allotments without faults: nothing is rejected below the limit
 * wherever its load arrives, and the limit holds above it.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  computeRequestCost,
  CustomerAllotments,
} from "../../../src/core/limits/customer_allotments.ts";
import {
  AllotmentFleet,
  computeBound,
  createCustomer,
} from "./allotment_fleet_fixture.ts";

const LARGE = createCustomer("large", 407_850, 407_850);
const SMALL = createCustomer("small", 40_000, 60_000);
const START_MS = 6_000;

/** Offers random requests of a customer at a rate, at hosts drawn by the caller. */
function offerLoad(
  fleet: AllotmentFleet,
  customer: string,
  tokensPerS: number,
  drawHost: () => number,
): void {
  const requests = tokensPerS * 0.005 / 9_200;
  let count = Math.floor(requests);
  if (fleet.draw() < requests - count) count += 1;
  for (; count > 0; count -= 1) {
    fleet.offer(drawHost(), customer, fleet.drawCost());
  }
}

const PLACES: [string, (fleet: AllotmentFleet) => number][] = [
  ["one host", () => 7],
  ["all hosts", (fleet) => Math.floor(fleet.draw() * 58)],
  [
    "hosts that change each 3 s",
    (fleet) => (Math.floor(fleet.now / 3_000) * 13 + 3) % 58,
  ],
  [
    "one half of the hosts, then the other",
    (fleet) =>
      Math.floor(fleet.draw() * 29) +
      29 * (Math.floor(fleet.now / 5_000) % 2),
  ],
];
for (const [place, drawHost] of PLACES) {
  test(`a load of 0.8 of the limit at ${place} is admitted whole`, () => {
    const fleet = new AllotmentFleet({
      hosts: 58,
      customers: [LARGE],
      seed: 3,
    });
    fleet.run(START_MS);
    fleet.run(START_MS + 20_000, () => {
      offerLoad(fleet, "large", 0.8 * 407_850, () => drawHost(fleet));
    });
    assert.is(fleet.rejected.length, 0);
    assert.ok(fleet.admitted.length > 600);
    assert.ok(fleet.longestWaitMs <= 400, `${fleet.longestWaitMs}`);
  });

  test(`ten times the limit at ${place} stays within the bound`, () => {
    const customers = [LARGE, SMALL];
    const fleet = new AllotmentFleet({ hosts: 58, customers, seed: 4 });
    fleet.run(START_MS);
    fleet.run(START_MS + 12_000, () => {
      offerLoad(fleet, "large", 10 * 407_850, () => drawHost(fleet));
      offerLoad(fleet, "small", 10 * 40_000, () => drawHost(fleet));
    });
    for (const { name, allotment } of customers) {
      if (!allotment) continue;
      const peak = fleet.measurePeak(name);
      const { ratePerS, burst } = allotment;
      assert.ok(peak <= computeBound(allotment), `${name} ${peak}`);
      assert.ok(peak >= 0.9 * (8 * ratePerS + burst), `${name} ${peak}`);
    }
  });
}

test("a host that has just started admits what the limit allows", () => {
  const fleet = new AllotmentFleet({ hosts: 58, customers: [LARGE], seed: 5 });
  fleet.run(START_MS);
  fleet.restart(9, 1_000);
  fleet.run(START_MS + 2_100);
  fleet.run(START_MS + 8_000, () => {
    offerLoad(fleet, "large", 0.8 * 407_850, () => 9);
  });
  assert.is(fleet.rejected.length, 0);
  assert.ok(fleet.admitted.length > 150);
});

test("the limit of a host without seeds holds from its start on", () => {
  const fleet = new AllotmentFleet({ hosts: 1, customers: [LARGE], seed: 6 });
  fleet.run(2_000);
  fleet.run(10_000, () => offerLoad(fleet, "large", 0.8 * 407_850, () => 0));
  assert.is(fleet.rejected.length, 0);
  fleet.run(20_000, () => offerLoad(fleet, "large", 10 * 407_850, () => 0));
  assert.ok(
    fleet.measurePeak("large") <=
      computeBound({ ratePerS: 407_850, burst: 407_850 }),
  );
});

test("a lowered limit binds one window later, a raised one at once", () => {
  const fleet = new AllotmentFleet({ hosts: 20, customers: [LARGE], seed: 7 });
  const drawHost = () => Math.floor(fleet.draw() * 20);
  fleet.run(START_MS);
  fleet.run(16_000, () => offerLoad(fleet, "large", 400_000, drawHost));
  const lowered = { ratePerS: 20_000, burst: 20_000 };
  fleet.setCustomers([createCustomer("large", 20_000, 20_000)]);
  fleet.run(34_000, () => offerLoad(fleet, "large", 400_000, drawHost));
  const peak = fleet.measurePeak("large", 24_000);
  assert.ok(peak <= computeBound(lowered), `${peak}`);
  assert.ok(peak >= 8 * 20_000, `${peak}`);
  fleet.setCustomers([LARGE]);
  fleet.run(36_000);
  const before = fleet.rejected.length;
  fleet.run(44_000, () => offerLoad(fleet, "large", 320_000, drawHost));
  assert.is(fleet.rejected.length, before);
});

test("a request after the announced Retry-After is admitted", () => {
  const fleet = new AllotmentFleet({ hosts: 3, customers: [SMALL], seed: 8 });
  fleet.run(START_MS);
  for (let count = 0; count < 40; count += 1) fleet.offer(1, "small", 10_000);
  fleet.run(START_MS + 1_000);
  const [rejection] = fleet.rejected;
  const retryAfterMs = rejection?.retryAfterMs ?? 0;
  assert.ok(retryAfterMs > 100, `${retryAfterMs}`);
  fleet.run((rejection?.at ?? 0) + retryAfterMs);
  const before = fleet.rejected.length;
  fleet.offer(1, "small", 10_000);
  fleet.run(fleet.now + 500);
  assert.is(fleet.rejected.length, before);
});

test("a cost that the limit never admits is rejected without Retry-After and takes nothing", () => {
  const fleet = new AllotmentFleet({ hosts: 3, customers: [SMALL], seed: 9 });
  fleet.run(START_MS);
  for (
    const cost of [2 ** 53, 1e300, Number.POSITIVE_INFINITY, Number.NaN, 1e12]
  ) {
    fleet.offer(1, "small", cost);
  }
  fleet.run(START_MS + 500);
  assert.equal(
    fleet.rejected.map(({ retryAfterMs }) => retryAfterMs),
    Array(5).fill(undefined),
  );
  fleet.offer(1, "small", 50_000);
  fleet.run(START_MS + 1_000);
  assert.is(fleet.admitted.length, 1);
});

test("a customer without a limit is admitted without a message", () => {
  const allotments = new CustomerAllotments(
    { selfId: "h0", incarnation: "p" },
    0,
  );
  assert.equal(allotments.decideAdmission("free", 1e9, 5), {
    kind: "admitted",
  });
  assert.equal(allotments.advance(10), { settled: [], outgoing: [] });
});

test("unusable token counts cost as much as none", () => {
  const { allotment } = SMALL;
  if (!allotment) throw new Error("expected an allotment, actual none");
  assert.is(computeRequestCost(allotment, 0, 0), 200);
  assert.is(computeRequestCost(allotment, -5, 2), 200);
  assert.is(computeRequestCost(allotment, 400, 20), 420);
  assert.is(computeRequestCost({ ...allotment, unit: "requests" }, 4, 2), 1);
});

test.run();
