/** An upstream that died is known to have died, also when the first reading after its death is lost. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleDaemon } from "../single_daemon.ts";

for (const lostReadings of [0, 1, 2]) {
  test(`a crashing request stops after 2 upstreams with ${lostReadings} readings lost at each`, () => {
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
      daemon.lostExaminations = lostReadings;
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

test("an upstream that never answers is not taken for dead", () => {
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
  assert.is(daemon.getDispatches(requestId).length, 2, "it is retried");
  assert.is(daemon.lostExaminations, 1_000 - 3);
});

test.run();
