/** Times of a request at its entry daemon. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LiveRequest } from "../../../src/core/execution/live_request.ts";
import { POOL, ROUTE } from "./request_fixture.ts";

test("a request that lay unread has its whole queue deadline left", () => {
  const request = new LiveRequest({
    event: {
      kind: "requestArrived",
      requestId: "r",
      customer: "derwent",
      route: ROUTE.name,
      fingerprint: "f",
      sharedParts: [],
      unreadMs: 600,
    },
    route: ROUTE,
    pool: POOL,
    adapterKey: "a@1",
    tablesRevision: 1,
    needsTicket: false,
  }, 10_000);
  assert.is(request.arrivedAt, 9_400);
  assert.is(request.deadlineAt, 14_400);
});

test.run();
