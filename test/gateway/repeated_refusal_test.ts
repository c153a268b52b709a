/**
 * Replicas that write an earlier refusal once more on a kept connection, where
 * the answer to the next request is due. That request runs, so its caller must
 * not hear that it did not.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const ANSWER = "the whole answer of the service";
/** More answers than a request has attempts. */
const MANY = 6;

test.before(async () => {
  harness.routeOverrides = { safe: { attempts: 1 } };
  await harness.start({ gateways: 1, engines: 1, services: 1 });
});
test.after(() => harness.stop());

for (const isAnonymous of [false, true]) {
  const echo = isAnonymous ? "no id" : "the request's id";
  const refusal: ScriptedAnswer = {
    statusLine: "HTTP/1.1 503 Service Unavailable",
    headers: { "X-Not-Run": "1" },
    isAnonymous,
    framing: "length",
    body: "",
    end: "keep",
  };
  const failure: ScriptedAnswer = {
    ...refusal,
    statusLine: "HTTP/1.1 500 Internal Server Error",
    headers: {},
    body: "failed",
  };
  const runWithRepeat: ScriptedAnswer = {
    framing: "length",
    body: ANSWER,
    end: "keep",
    repeatsPrevious: true,
  };
  const runs = Array.from({ length: MANY }, () => runWithRepeat);

  test(`the gateway repeats a refused request, which runs while the refusal with ${echo} is written once more`, async () => {
    const id = `own-repeat-${isAnonymous}`;
    harness.scriptAnswers(id, [refusal, ...runs]);
    const answer = await harness.call("/safe/1", { id });
    assert.is(answer.status, 200);
    assert.is(answer.body, ANSWER);
    assert.is(harness.countRuns(id), 2, "the refused attempt and one run");
  });

  test(`a caller repeats a refused request, which runs while the refusal with ${echo} is written once more`, async () => {
    const id = `caller-repeat-${isAnonymous}`;
    harness.scriptAnswers(id, Array.from({ length: MANY }, () => refusal));
    const refused = await harness.call("/safe/1", { id });
    assert.is(refused.status, 503);
    const refusedAttempts = harness.countRuns(id);
    harness.scriptAnswers(id, runs);
    const answer = await harness.call("/safe/1", { id });
    assert.is(answer.status, 200);
    assert.is(harness.countRuns(id), refusedAttempts + 1);
  });

  test(`a failure with ${echo} that is written once more is not the answer to the next request`, async () => {
    const id = `failure-${isAnonymous}`;
    harness.scriptAnswers(id, [failure]);
    const failed = await harness.call("/safe/1", { id });
    assert.is(failed.status, 500);
    const next = isAnonymous ? `${id}-next` : id;
    harness.scriptAnswers(next, runs);
    const answer = await harness.call("/safe/1", { id: next });
    assert.is(answer.status, 200);
  });
}

test.run();
