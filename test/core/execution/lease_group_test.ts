import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaseGroup } from "../../../src/core/execution/lease_group.ts";
import type { LeaseGrantMessage } from "../../../src/core/messages.ts";

const MARGIN_MS = 100;

function createGrant(
  changes: Partial<LeaseGrantMessage> = {},
): LeaseGrantMessage & { ownerId: string } {
  return {
    ownerId: "entry-1",
    kind: "leaseGrant",
    leaseRequestId: "request-1",
    leaseId: "lease-1",
    upstreamId: "engine-1",
    adapterKey: "briefing@v1",
    credits: 2,
    windowMs: 2_000,
    requestSentAtMs: 1_000,
    exclusive: false,
    upstreamIncarnation: "i1",
    loaded: false,
    ...changes,
  };
}

test("counts the dispatch window from the time at which the granted request was sent", () => {
  const group = new LeaseGroup("engine-1", "briefing@v1");
  group.addLease(createGrant(), MARGIN_MS, 1_500);
  assert.ok(group.tryTakeCredit(false, 2_899));
  assert.is(group.tryTakeCredit(false, 2_900), undefined);
});

test("returns credits as a cumulative total", () => {
  const group = new LeaseGroup("engine-1", "briefing@v1");
  group.addLease(createGrant(), MARGIN_MS, 1_000);
  const credit = group.tryTakeCredit(false, 1_000);
  assert.equal(group.takeIdleCredits(0, 1_001), [
    { leaseId: "lease-1", returnedCredits: 1 },
  ]);
  group.freeCredit(credit?.leaseId ?? "", 1_002);
  assert.equal(group.takeIdleCredits(0, 1_003), [
    { leaseId: "lease-1", returnedCredits: 2 },
  ]);
  assert.ok(group.isUnused());
});

test("never returns the credit of a run that may still be in progress", () => {
  const group = new LeaseGroup("engine-1", "briefing@v1");
  group.addLease(createGrant({ credits: 1 }), MARGIN_MS, 1_000);
  const credit = group.tryTakeCredit(false, 1_000);
  group.abandonCredit(credit?.leaseId ?? "");
  assert.equal(group.takeIdleCredits(0, 5_000), []);
});

test.run();
