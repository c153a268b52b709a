/**
 * Guards against requests that crash upstreams after their callers have left:
 * the crash must count against them, and an ordinary departure must not.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptResult } from "../../../src/core/outcomes.ts";
import { SingleDaemon } from "../single_daemon.ts";

/** Time in which a request gets its lease and is dispatched. */
const DISPATCH_MS = 2_000;
/** Longer than the time for which a departed run is watched. */
const WATCHED_MS = 3_000;
const READ_ID_PREFIX = "departure";
const CANCELLED: AttemptResult = { kind: "cancelled" };
const UNCONFIRMED: AttemptResult = {
  kind: "lost",
  detail: "cancelled, not confirmed",
  bytesForwarded: 0,
};

/**
 * Sends a request whose caller leaves during the run; returns the upstream that
 * ran it, or undefined if none did.
 */
function leaveDuringRun(
  daemon: SingleDaemon,
  result: AttemptResult,
): string | undefined {
  const requestId = daemon.request("briefing");
  daemon.advance(DISPATCH_MS);
  const [dispatch] = daemon.getDispatches(requestId);
  daemon.handle({ kind: "callerGone", requestId });
  if (dispatch) daemon.endAttempt(dispatch.attemptId, result);
  return dispatch?.upstreamId;
}

function restart(daemon: SingleDaemon, upstreamId: string): void {
  const state = daemon.states.get(upstreamId);
  assert.ok(state);
  state.incarnation += "+";
  state.residents = [];
}

function countReads(daemon: SingleDaemon): number {
  return daemon.effects.filter((effect) =>
    effect.kind === "readUpstreamState" &&
    effect.readId.startsWith(READ_ID_PREFIX)
  ).length;
}

for (
  const [name, result] of [
    ["was cancelled", CANCELLED],
    ["was not confirmed to have ended", UNCONFIRMED],
  ] as const
) {
  test(`a request is quarantined after two crashes that follow runs whose end ${name}`, () => {
    const daemon = new SingleDaemon(["engine-1", "engine-2", "engine-3"]);
    for (let run = 0; run < 2; run += 1) {
      const upstreamId = leaveDuringRun(daemon, result);
      assert.ok(upstreamId, `run ${run}`);
      daemon.advance(150);
      restart(daemon, upstreamId);
      daemon.advance(WATCHED_MS);
    }
    const requestId = daemon.request("briefing");
    daemon.advance(DISPATCH_MS);
    assert.is(daemon.getRefusal(requestId)?.reason, "quarantined");
    assert.equal(daemon.getDispatches(requestId), []);
  });

  test(`departures alone hold nothing against a request whose run ${name}`, () => {
    const daemon = new SingleDaemon(["engine-1", "engine-2", "engine-3"]);
    for (let run = 0; run < 4; run += 1) {
      assert.ok(leaveDuringRun(daemon, result), `run ${run}`);
      daemon.advance(WATCHED_MS);
    }
    assert.ok(leaveDuringRun(daemon, result));
  });
}

test("a crash long after the departure is not attributed to the run", () => {
  const daemon = new SingleDaemon(["engine-1", "engine-2", "engine-3"]);
  for (let run = 0; run < 4; run += 1) {
    const upstreamId = leaveDuringRun(daemon, CANCELLED);
    assert.ok(upstreamId, `run ${run}`);
    daemon.advance(WATCHED_MS);
    restart(daemon, upstreamId);
    daemon.advance(WATCHED_MS);
  }
});

test("the end of an upstream that shuts down is not attributed to the run", () => {
  const ids = ["engine-1", "engine-2", "engine-3"];
  const daemon = new SingleDaemon(ids);
  for (const [run] of ids.entries()) {
    const upstreamId = leaveDuringRun(daemon, CANCELLED);
    assert.ok(upstreamId, `run ${run}`);
    const state = daemon.states.get(upstreamId);
    assert.ok(state);
    state.leaving = true;
    daemon.advance(500);
    state.leaving = false;
    restart(daemon, upstreamId);
    daemon.advance(WATCHED_MS);
  }
  assert.ok(leaveDuringRun(daemon, CANCELLED));
});

test("runs that leave one upstream at a time share its state reads", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  const requestIds = Array.from(
    { length: 6 },
    () => daemon.request("briefing"),
  );
  daemon.advance(DISPATCH_MS);
  const attempts = requestIds.flatMap((requestId) =>
    daemon.getDispatches(requestId)
  );
  assert.ok(attempts.length > 1, `${attempts.length} runs`);
  for (const { attemptId, requestId } of attempts) {
    daemon.handle({ kind: "callerGone", requestId });
    daemon.endAttempt(attemptId, CANCELLED);
  }
  daemon.advance(WATCHED_MS);
  const reads = countReads(daemon);
  assert.ok(reads > 0 && reads <= 6, `${reads} reads`);
  daemon.advance(WATCHED_MS);
  assert.is(countReads(daemon), reads, "reads after the watch");
});

test("the exclusive lease of a suspect's departed run is kept while it is watched", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  const upstreamId = leaveDuringRun(daemon, CANCELLED);
  assert.is(upstreamId, "engine-1");
  restart(daemon, "engine-1");
  daemon.advance(WATCHED_MS);
  assert.is(leaveDuringRun(daemon, CANCELLED), "engine-1");
  const requestId = daemon.request("briefing");
  daemon.advance(1_000);
  assert.equal(daemon.getDispatches(requestId), [], "while it is watched");
  daemon.advance(WATCHED_MS);
  assert.is(daemon.getDispatches(requestId).length, 1, "after the watch");
});

test.run();
