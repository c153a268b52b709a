/**
 * BUDGET: a part of a prompt crashes each engine that begins to answer on it.
 * Requests with it arrive at every gateway, no two alike, and stop reaching
 * engines; sound requests that share their first part and session are served.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const GATEWAYS = 3;
/** Crashes up to the one from which the rule counts, and what it then allows. */
const COUNTED_CRASHES = 5;
const ALLOWED_AFTER = 3;
const DEADLY_REQUESTS = 16;
/** Time between two requests: peers hear of a crash meanwhile. */
const PAUSE_MS = 250;

const harness = new GatewayHarness();
let lastSession = 0;

test.before(async () => {
  await harness.start({ gateways: GATEWAYS, engines: 16, services: 1 });
  for (const engine of harness.engines) {
    engine.deadlyParts.add("deadly");
    engine.onRestart = () => harness.register(engine);
  }
});
test.after(() => harness.stop());

function callWithParts(
  parts: string[],
  gateway: number,
  model = `m/a${lastSession % 3}`,
) {
  lastSession += 1;
  const prefix = [...parts, `own${lastSession}`].map((id) => `${id}:100`);
  return harness.call("/brief/1", {
    gateway,
    id: `parts-${lastSession}`,
    headers: {
      "X-Prompt-Prefix": prefix.join(","),
      "X-Model": model,
    },
  });
}

function countCrashes(): number {
  return harness.engines.reduce((sum, engine) => sum + engine.crashCount, 0);
}

function countDeadlyRuns(): number {
  return harness.engines.flatMap((engine) => engine.receivedRequests)
    .filter(({ headers }) =>
      String(headers["x-prompt-prefix"]).includes("deadly")
    ).length;
}

test("BUDGET: requests that share a part that crashes engines are refused at all gateways, sound ones with the same beginning are served", async () => {
  for (let index = 0; index < DEADLY_REQUESTS; index += 1) {
    const gateway = index % GATEWAYS;
    const sound = await callWithParts(["first", "session"], gateway);
    if (countDeadlyRuns() === 0) assert.is(sound.status, 200);
    await callWithParts(["first", "deadly", "session"], gateway);
    await waitMs(PAUSE_MS);
  }
  const runs = countDeadlyRuns();
  assert.ok(runs >= 2, `${runs} runs`);
  assert.ok(runs <= COUNTED_CRASHES + ALLOWED_AFTER, `${runs} runs`);
  for (let index = 0; index < 2 * GATEWAYS; index += 1) {
    const gateway = index % GATEWAYS;
    const deadly = await callWithParts(["first", "deadly", "new"], gateway);
    assert.is(deadly.status, 503);
    assert.match(deadly.body, "quarantined");
    const sound = await callWithParts(["first", "session"], gateway);
    assert.is(sound.status, 200);
  }
  assert.is(countDeadlyRuns(), runs);
});

test("a request that waits at an engine when its part is convicted is cancelled there before it crashes the engine", async () => {
  const delays = [0, 0, 1_500];
  for (const engine of harness.engines) {
    engine.deadlyParts.add("deadly-too");
    engine.deadlyDelaysMs = delays;
  }
  const crashesBefore = countCrashes();
  const callDeadly = (gateway: number) =>
    // The base model needs no load, which would delay the request.
    callWithParts(["first", "deadly-too", "session"], gateway, "m");
  const first = await callDeadly(0);
  assert.is(first.status, 502);
  delays.unshift(1_500);
  const waiting = callDeadly(1);
  await harness.waitFor(() => delays.length === 2);
  await callDeadly(2);
  const answer = await waiting;
  assert.is(answer.status, 502);
  await waitMs(1_600);
  assert.is(countCrashes() - crashesBefore, 2);
});

test.run();
