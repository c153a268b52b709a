/** Requests for leases that an upstream's owner reads late. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LeaseRequestMessage } from "../../../src/core/messages.ts";
import { trimLeaseTimes } from "../../../src/core/residency/lease_request_age.ts";

const REQUEST: LeaseRequestMessage = {
  kind: "leaseRequest",
  leaseRequestId: "l",
  upstreamId: "engine-1",
  adapterKey: "salmon@1",
  credits: 1,
  priorityRank: 0,
  customer: "mill-a",
  remainingMs: 4_000,
  maxRunMs: 10_000,
  exclusive: false,
  isCopy: false,
  sentAtMs: 1,
};

test("a request for a lease that lay unread waits for longer than its requests", () => {
  const trimmed = trimLeaseTimes(REQUEST, 1_000);
  assert.equal(trimmed, { ...REQUEST, remainingMs: 3_500 });
});

test("a message that was read in time is changed", () => {
  assert.is(trimLeaseTimes(REQUEST, 0), REQUEST);
});

test.run();
