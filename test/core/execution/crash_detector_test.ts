/**
 * Guards against a missed crash: if the first reads of a crashed upstream's
 * state are lost, the daemon must read again, or a crashing request would move
 * on to one upstream after another.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleDaemon } from "../single_daemon.ts";

for (const lostReads of [0, 1, 2]) {
  test(`a crashing request is quarantined after 2 upstreams if ${lostReads} state reads are lost at each`, () => {
    const daemon = new SingleDaemon(["engine-1", "engine-2", "engine-3"]);
    const requestId = daemon.request("briefing");
    for (let crashes = 0; crashes < 3; crashes += 1) {
      daemon.advance(2_000);
      const dispatch = daemon.getDispatches(requestId)[crashes];
      if (!dispatch) break;
      const state = daemon.states.get(dispatch.upstreamId);
      assert.ok(state);
      state.incarnation = "e2";
      state.residents = [];
      daemon.lostExaminations = lostReads;
      daemon.endAttempt(dispatch.attemptId, {
        kind: "lost",
        detail: "",
        bytesForwarded: 0,
      });
    }
    assert.is(daemon.getRefusal(requestId)?.reason, "quarantined");
    assert.is(daemon.getDispatches(requestId).length, 2);
  });
}

test("an upstream that never answers its state reads does not count as crashed", () => {
  const daemon = new SingleDaemon(["engine-1", "engine-2"]);
  const requestId = daemon.request("briefing");
  daemon.advance(500);
  const [dispatch] = daemon.getDispatches(requestId);
  assert.ok(dispatch);
  daemon.lostExaminations = 1_000;
  daemon.endAttempt(dispatch.attemptId, {
    kind: "lost",
    detail: "",
    bytesForwarded: 0,
  });
  daemon.advance(2_000);
  assert.is(
    daemon.getDispatches(requestId).length,
    2,
    "the request is retried",
  );
  assert.is(daemon.lostExaminations, 1_000 - 3);
});

test.run();
