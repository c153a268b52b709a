/** What a planned stop does with the requests that it finds. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleDaemon } from "../single_daemon.ts";

const REASON_AND_OUTCOME = ["stopping", "mayHaveRun"];
/** Time in which the engine's owner loads the adapter and the run starts. */
const START_MS = 500;

/** Sends an at-most-once request under a new ticket; returns request and ticket. */
function sendOrder(daemon: SingleDaemon): { id: string; ticket: string } {
  const ticket = daemon.getRefusal(daemon.request("order"))?.ticket ?? "";
  return { id: daemon.request("order", { ticket }), ticket };
}

for (const route of ["briefing", "order"] as const) {
  test(`a run of ${route} that is left at the end of a stop is cancelled and may have run`, () => {
    const daemon = new SingleDaemon(["engine-1"]);
    const id = route === "order" ? sendOrder(daemon).id : daemon.request(route);
    daemon.advance(START_MS);
    const [dispatch] = daemon.getDispatches(id);
    daemon.handle({ kind: "stopRequested" });
    assert.is(daemon.getRefusal(id), undefined);
    daemon.handle({ kind: "stopTimedOut" });
    const refusal = daemon.getRefusal(id);
    assert.equal([refusal?.reason, refusal?.outcome], REASON_AND_OUTCOME);
    const isCancelled = daemon.effects.some((effect) =>
      effect.kind === "cancelAttempt" &&
      effect.attemptId === dispatch?.attemptId
    );
    assert.ok(isCancelled);
  });
}

test("the ticket of a run that is left at the end of a stop is spent, not in progress", () => {
  const issuer = "entry-2";
  const daemon = new SingleDaemon(["engine-1"], [issuer]);
  const ticket = `${issuer}~i1~1~check`;
  const id = daemon.request("order", { ticket });
  const claim = daemon.effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "ticketClaim"
      ? [effect.message]
      : []
  ).at(-1);
  const { claimId = "" } = claim ?? {};
  daemon.handle({
    kind: "peerMessage",
    from: issuer,
    message: { kind: "ticketVerdict", claimId, verdict: "granted" },
  });
  daemon.advance(START_MS);
  assert.is(daemon.getDispatches(id).length, 1);
  daemon.handle({ kind: "stopRequested" });
  daemon.handle({ kind: "stopTimedOut" });
  const settlement = daemon.effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "ticketSettle"
      ? [effect.message]
      : []
  ).at(-1);
  assert.is(settlement?.claimId, claimId);
  assert.is(settlement?.answer?.outcome, "mayHaveRun");
});

test("a request that waits at the end of a stop did not run", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  daemon.states.delete("engine-1");
  daemon.advance(START_MS);
  const id = daemon.request("briefing");
  daemon.handle({ kind: "stopRequested" });
  daemon.handle({ kind: "stopTimedOut" });
  const refusal = daemon.getRefusal(id);
  assert.equal([refusal?.reason, refusal?.outcome], ["stopping", "notRun"]);
});

test.run();
