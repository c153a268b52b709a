import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptResult } from "../../../src/core/outcomes.ts";
import { SingleDaemon } from "../single_daemon.ts";

/**
 * Results of a first attempt, and the outcome to report when no other upstream
 * is left.
 */
const FIRST_ATTEMPTS: { result: AttemptResult; outcome: string }[] = [
  { result: { kind: "notSent", detail: "" }, outcome: "notRun" },
  { result: { kind: "refused", status: 503, detail: "" }, outcome: "notRun" },
  {
    result: { kind: "lost", detail: "", bytesForwarded: 0 },
    outcome: "mayHaveRun",
  },
  {
    result: { kind: "wrongAdapter", servedModel: "other@v1" },
    outcome: "mayHaveRun",
  },
];

for (const { result, outcome } of FIRST_ATTEMPTS) {
  test(`a request refused after an attempt with result ${result.kind} has the outcome ${outcome}`, () => {
    const daemon = new SingleDaemon(["engine-1"]);
    const requestId = daemon.request("briefing");
    daemon.advance(500);
    const [dispatch] = daemon.getDispatches(requestId);
    assert.ok(dispatch);
    daemon.states.delete("engine-1");
    daemon.advance(1_000);
    daemon.endAttempt(dispatch.attemptId, result);
    daemon.advance(15_000);
    assert.is(daemon.getRefusal(requestId)?.outcome, outcome);
  });
}

test("a request with a ticket may have run until the ticket's issuer has answered", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  const ticket = daemon.getRefusal(daemon.request("order"))?.ticket ?? "";
  assert.is.not(ticket, "");
  daemon.handle({ kind: "stopRequested", endsAt: Number.POSITIVE_INFINITY });
  const refused = daemon.getRefusal(daemon.request("order", { ticket }));
  assert.is(refused?.outcome, "mayHaveRun");
  const fresh = daemon.getRefusal(daemon.request("order"));
  assert.is(fresh?.outcome, "notRun");
});

test("a request with a ticket may have run if the caller disconnects before the issuer has answered", () => {
  const daemon = new SingleDaemon(["engine-1"], ["entry-2"]);
  const ticket = "entry-2~i1~1~check";
  const requestId = daemon.request("order", { ticket });
  assert.is(daemon.getRefusal(requestId), undefined, "the claim is pending");
  daemon.handle({ kind: "callerGone", requestId });
  assert.is(daemon.getRefusal(requestId)?.outcome, "mayHaveRun");
});

test.run();
