import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type GrantedLease,
  GrantedLeases,
} from "../../../src/core/residency/granted_leases.ts";

function createLease(changes: Partial<GrantedLease> = {}): GrantedLease {
  return {
    leaseId: "lease-1",
    leaseRequestId: "request-1",
    holder: "entry-1",
    adapterKey: "briefing@v1",
    credits: 2,
    returnedCredits: 0,
    exclusive: false,
    windowEndsAt: 2_000,
    expiresAt: 10_000,
    ...changes,
  };
}

test("counts a repeated return once", () => {
  const ledger = new GrantedLeases();
  ledger.addLease(createLease());
  ledger.returnCredits("lease-1", 1);
  ledger.returnCredits("lease-1", 1);
  assert.ok(ledger.hasLeases("briefing@v1"));
  assert.is(ledger.getCreditsInUse(), 1);
});

test("takes returns that come out of order", () => {
  const ledger = new GrantedLeases();
  ledger.addLease(createLease());
  ledger.returnCredits("lease-1", 2);
  ledger.returnCredits("lease-1", 1);
  assert.not(ledger.hasLeases("briefing@v1"));
  assert.is(ledger.getCreditsInUse(), 0);
});

test("keeps a lease until window and longest run have passed", () => {
  const ledger = new GrantedLeases();
  ledger.addLease(createLease());
  ledger.dropExpired(9_999);
  assert.ok(ledger.hasLeases("briefing@v1"));
  ledger.dropExpired(10_000);
  assert.not(ledger.hasLeases("briefing@v1"));
});

test("believes an idle report only if it was read after window and lag", () => {
  const ledger = new GrantedLeases();
  ledger.addLease(createLease());
  ledger.dropIdle("briefing@v1", 2_499, 500);
  assert.ok(ledger.hasLeases("briefing@v1"));
  ledger.dropIdle("briefing@v1", 2_500, 500);
  assert.not(ledger.hasLeases("briefing@v1"));
});

test("adds a lease that is handed over twice once", () => {
  const ledger = new GrantedLeases();
  ledger.addLease(createLease());
  ledger.addLease(createLease());
  assert.is(ledger.getCreditsInUse(), 2);
});

test.run();
