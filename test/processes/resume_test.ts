/**
 * Guards against lost, repeated or partial events when the connection between
 * daemon and engine fails during a stream, and against a slow reader that
 * delays other callers or loses tokens itself.
 */
import { request } from "node:http";
import type { IncomingMessage } from "node:http";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { readTokens } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";

const TOKENS = 40;
/** With the padding, more than the kernel buffers of both connections hold. */
const LONG_TOKENS = 120;
/** Far longer than the test takes, also on a busy machine. */
const MAX_RUN_MS = 120_000;
const RESUME_WINDOW_MS = 20_000;
const PADDING_BYTES = 1_000_000;
const test = suite("resume");
let site: Site;
let entry = "";

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 1, engines: 1 }],
    tokens: TOKENS,
    maxRunMs: MAX_RUN_MS,
  });
  await site.start();
  site.getEngine().faults.resumeWindowMs = RESUME_WINDOW_MS;
  entry = site.daemonIds[0] ?? "";
});

test.after(async () => await site.stop());

async function countResumes(outcome: "resumed" | "refused"): Promise<number> {
  return await site.fleet.getCounter(entry, `stream_resumed.${outcome}`);
}

test("a stream whose connection fails repeatedly is delivered completely, with no token twice", async () => {
  const engine = site.getEngine();
  engine.faults.dropConnectionsAfter = [0, 1, 7, 20, 39];
  const runsBefore = engine.history.length;
  const answers = await Promise.all(
    ["adapter-0", "adapter-0", "adapter-1"].map((model) =>
      site.call(entry, model)
    ),
  );
  for (const [index, answer] of answers.entries()) {
    const adapterKey = index < 2 ? "adapter-0@v1" : "adapter-1@v1";
    assert.ok(
      isExactAnswer(answer, adapterKey, TOKENS),
      describeAnswer(answer),
    );
  }
  assert.is(
    engine.history.length,
    runsBefore + answers.length,
    "no request ran twice",
  );
  assert.ok(engine.droppedConnections >= answers.length);
  assert.is(await countResumes("resumed"), engine.droppedConnections);
  engine.faults.dropConnectionsAfter = [];
});

test("a stream that the engine cannot resume ends with an error after a complete event", async () => {
  const engine = site.getEngine();
  engine.faults.dropConnectionsAfter = [10];
  engine.faults.cutAfterTokens = 11;
  const answer = await site.call(entry, "adapter-0");
  assert.not.ok(answer.isWhole, describeAnswer(answer));
  assert.is(answer.refusal?.reason, RefusalReason.UpstreamLost);
  assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  const events = answer.text.split("\n\n").slice(0, -2);
  for (const event of events) {
    JSON.parse(event.replace(/^data: /, ""));
  }
  assert.ok(await countResumes("refused") > 0);
  engine.faults.dropConnectionsAfter = [];
  engine.faults.cutAfterTokens = 0;
});

test("a slow reader applies back-pressure to its own upstream connection only", async () => {
  const engine = site.getEngine();
  engine.tokenPadding = "x".repeat(PADDING_BYTES);
  engine.options.tokens = LONG_TOKENS;
  const { port, hostname } = new URL(
    `http://${site.fleet.getDaemon(entry).callers}`,
  );
  const slow = await new Promise<IncomingMessage>((resolve, reject) => {
    const call = request({
      host: hostname,
      port,
      path: "/v1/chat/completions",
      method: "POST",
      headers: {
        authorization: `Bearer ${site.token}`,
        "content-type": "application/json",
      },
    }, resolve);
    call.on("error", reject);
    call.end(JSON.stringify({ model: "adapter-0", stream: true }));
  });
  engine.tokenPadding = "";
  engine.options.tokens = TOKENS;
  const answer = await site.call(entry, "adapter-1");
  assert.ok(
    isExactAnswer(answer, "adapter-1@v1", TOKENS),
    describeAnswer(answer),
  );
  await waitUntil("the engine has completed all runs", () =>
    Promise.resolve(
      engine.history.every(({ ended }) => ended !== "running"),
    ));
  const { execution } = await site.fleet.getStatus(entry);
  assert.is(execution.attempts, 1, "only the slow stream is still in progress");
  let text = "";
  for await (const chunk of slow) text += String(chunk).replace(/x{2,}/g, "");
  const expected = Array.from(
    { length: LONG_TOKENS },
    (_, n) => `adapter-0@v1#${n}`,
  );
  assert.equal(readTokens(text), expected);
  assert.match(text, "data: [DONE]");
});

test.run();
