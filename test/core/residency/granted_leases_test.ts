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

test("counts a duplicate return once", () => {
  const leases = new GrantedLeases();
  leases.addLease(createLease());
  leases.returnCredits("lease-1", 1);
  leases.returnCredits("lease-1", 1);
  assert.ok(leases.hasLeases("briefing@v1"));
  assert.is(leases.getCreditsInUse(), 1);
});

test("accepts returns that arrive out of order", () => {
  const leases = new GrantedLeases();
  leases.addLease(createLease());
  leases.returnCredits("lease-1", 2);
  leases.returnCredits("lease-1", 1);
  assert.not(leases.hasLeases("briefing@v1"));
  assert.is(leases.getCreditsInUse(), 0);
});

test("keeps a lease until its window and the maximum run time have passed", () => {
  const leases = new GrantedLeases();
  leases.addLease(createLease());
  leases.dropExpired(9_999);
  assert.ok(leases.hasLeases("briefing@v1"));
  leases.dropExpired(10_000);
  assert.not(leases.hasLeases("briefing@v1"));
});

test("drops an idle lease only if the state was read after its window and the report lag", () => {
  const leases = new GrantedLeases();
  leases.addLease(createLease());
  leases.dropIdle("briefing@v1", 2_499, 500);
  assert.ok(leases.hasLeases("briefing@v1"));
  leases.dropIdle("briefing@v1", 2_500, 500);
  assert.not(leases.hasLeases("briefing@v1"));
});

test("adds a lease once if it is handed over twice", () => {
  const leases = new GrantedLeases();
  leases.addLease(createLease());
  leases.addLease(createLease());
  assert.is(leases.getCreditsInUse(), 2);
});

test.run();
