/** What a planned stop does with the requests that it finds. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleDaemon } from "../single_daemon.ts";

const REASON_AND_OUTCOME = ["stopping", "mayHaveRun"];
/** Time in which the engine's owner loads the adapter and the run starts. */
const START_MS = 500;

/** Longest run of the routes: the default of `maxRunMs`. */
const MAX_RUN_MS = 60_000;
/** Shorter than the longest run. */
const STOP_MS = 30_000;

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
    daemon.handle({ kind: "stopRequested", endsAt: daemon.now + STOP_MS });
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
  daemon.handle({ kind: "stopRequested", endsAt: daemon.now + STOP_MS });
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
  daemon.handle({ kind: "stopRequested", endsAt: daemon.now + STOP_MS });
  daemon.handle({ kind: "stopTimedOut" });
  const refusal = daemon.getRefusal(id);
  assert.equal([refusal?.reason, refusal?.outcome], ["stopping", "notRun"]);
});

test("an at-most-once request that waits is refused at once if its run can outlast the stop", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  daemon.states.delete("engine-1");
  daemon.advance(START_MS);
  const { id } = sendOrder(daemon);
  daemon.handle({
    kind: "stopRequested",
    endsAt: daemon.now + MAX_RUN_MS - 1,
  });
  const refusal = daemon.getRefusal(id);
  assert.equal([refusal?.reason, refusal?.outcome], ["stopping", "notRun"]);
  assert.is(daemon.getDispatches(id).length, 0);
});

test("an at-most-once request that waits during a stop is refused once its run can outlast the stop", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  daemon.states.delete("engine-1");
  daemon.advance(START_MS);
  const { id } = sendOrder(daemon);
  daemon.handle({
    kind: "stopRequested",
    endsAt: daemon.now + MAX_RUN_MS + START_MS,
  });
  assert.is(daemon.getRefusal(id), undefined);
  daemon.advance(START_MS + 50);
  assert.is(daemon.getRefusal(id)?.reason, "stopping");
});

test("an at-most-once request is not sent elsewhere if its run can outlast the stop", () => {
  const daemon = new SingleDaemon(["engine-1", "engine-2"]);
  const { id } = sendOrder(daemon);
  daemon.advance(START_MS);
  const [dispatch] = daemon.getDispatches(id);
  assert.ok(dispatch);
  daemon.handle({ kind: "stopRequested", endsAt: daemon.now + STOP_MS });
  daemon.endAttempt(dispatch.attemptId, {
    kind: "refused",
    status: 503,
    detail: "",
  });
  daemon.advance(START_MS);
  const refusal = daemon.getRefusal(id);
  assert.equal([refusal?.reason, refusal?.outcome], ["stopping", "notRun"]);
  assert.is(daemon.getDispatches(id).length, 1);
});

for (const route of ["briefing", "order"] as const) {
  const endsInMs = route === "order" ? 2 * MAX_RUN_MS : STOP_MS;
  test(`a request of ${route} that waits is run during a stop of ${endsInMs} ms`, () => {
    const daemon = new SingleDaemon(["engine-1"]);
    const id = route === "order" ? sendOrder(daemon).id : daemon.request(route);
    daemon.advance(START_MS);
    const [dispatch] = daemon.getDispatches(id);
    daemon.handle({ kind: "stopRequested", endsAt: daemon.now + endsInMs });
    daemon.endAttempt(dispatch?.attemptId ?? "", {
      kind: "notSent",
      detail: "",
    });
    daemon.advance(START_MS);
    assert.is(daemon.getRefusal(id), undefined);
    assert.is(daemon.getDispatches(id).length, 2);
  });
}

test.run();
