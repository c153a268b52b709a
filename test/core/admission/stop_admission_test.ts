/** Requests that a stopping daemon took although their end could be cut off. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  canAdmitWhileStopping,
  canDispatchWhileStopping,
  canFinishBefore,
  type RequestWork,
} from "../../../src/core/admission/stop_admission.ts";
import { Repeatability } from "../../../src/core/view/published_view.ts";

const CHAT: RequestWork = {
  repeatability: Repeatability.Stream,
  isGeneration: true,
  promptTokens: 826,
  outputTokens: 290,
  latencyObjectiveMs: 800,
  deadlineAt: 20_000,
};
const LOOKUP: RequestWork = {
  repeatability: Repeatability.Idempotent,
  isGeneration: false,
  promptTokens: 0,
  outputTokens: 0,
  latencyObjectiveMs: 193,
  deadlineAt: 20_000,
};
const BOOKING: RequestWork = {
  ...LOOKUP,
  repeatability: Repeatability.NonIdempotent,
};
const STOP = { beganAt: 1_000, endsAt: 8_700 };

test("a stopping daemon admits only requests that it can complete in time", () => {
  assert.ok(canFinishBefore(8_000, CHAT, 3_000));
  assert.not(canFinishBefore(8_000, CHAT, 5_000));
  assert.ok(canFinishBefore(8_000, LOOKUP, 5_000));
  assert.not(canFinishBefore(8_000, LOOKUP, 7_000));
});

test("a stopping daemon admits no generation once the load balancer must know that it stops", () => {
  // A generation admitted 3.3 s after the stop notice was still running 4.3 s
  // later on a crowded engine.
  const chat = { ...CHAT, promptTokens: 646, outputTokens: 68 };
  assert.ok(canAdmitWhileStopping(STOP, chat, 3_400));
  assert.not(canAdmitWhileStopping(STOP, chat, 4_340));
  assert.ok(canAdmitWhileStopping(STOP, LOOKUP, 4_340));
  assert.not(canAdmitWhileStopping(STOP, LOOKUP, 8_000));
  for (const repeatability of Object.values(Repeatability)) {
    assert.not(canAdmitWhileStopping(STOP, { ...chat, repeatability }, 4_340));
  }
});

test("a non-idempotent request whose time limit outlasts the stop is taken", () => {
  for (let now = STOP.beganAt; now <= STOP.endsAt + 300; now += 100) {
    for (const remainingMs of [100, 1_000, 2_000, 9_000]) {
      const booking = { ...BOOKING, deadlineAt: now + remainingMs };
      const endsInTime = now + remainingMs <= STOP.endsAt;
      assert.is(canAdmitWhileStopping(STOP, booking, now), endsInTime);
      assert.is(canDispatchWhileStopping(STOP, booking, now), endsInTime);
    }
  }
});

test("an idempotent request that is answered within the stop in any case is refused", () => {
  assert.ok(
    canAdmitWhileStopping(STOP, { ...LOOKUP, deadlineAt: 8_700 }, 8_000),
  );
});

test("a waiting generation is sent when it can't be completed any more", () => {
  // The window is for new requests: one that was admitted may be sent after it.
  assert.ok(canDispatchWhileStopping(STOP, CHAT, 4_000));
  assert.not(canDispatchWhileStopping(STOP, CHAT, 6_000));
  const boundedChat = { ...CHAT, deadlineAt: 8_000 };
  assert.not(canDispatchWhileStopping(STOP, boundedChat, 6_000));
});

test("anything is admitted after the end of the stop", () => {
  for (const work of [CHAT, LOOKUP, BOOKING]) {
    assert.not(canAdmitWhileStopping(STOP, work, STOP.endsAt + 1));
  }
});

test.run();
