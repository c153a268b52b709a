/** Streams whose connection is cut are resumed whole or reported as broken; a slow reader holds back itself alone. */
import { request } from "node:http";
import type { IncomingMessage } from "node:http";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { readTokens } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";

const TOKENS = 40;
/** Together more than the buffers of the kernel hold on both connections. */
const LONG_TOKENS = 120;
/** Far more than the test takes, on however busy a machine. */
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

test("a stream that is cut again and again comes whole, no token twice", async () => {
  const engine = site.getEngine();
  engine.faults.dropConnectionsAfter = [0, 1, 7, 20, 39];
  const runs = engine.history.length;
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
  assert.is(engine.history.length, runs + answers.length, "nothing ran twice");
  assert.ok(engine.droppedConnections >= answers.length);
  assert.is(await countResumes("resumed"), engine.droppedConnections);
  engine.faults.dropConnectionsAfter = [];
});

test("a stream that the engine no longer has is broken off after whole events", async () => {
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

test("a slow reader holds back its own upstream connection and no other", async () => {
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
  await waitUntil("the engine has sent what it can", () =>
    Promise.resolve(
      engine.history.every(({ ended }) => ended !== "running"),
    ));
  const { execution } = await site.fleet.getStatus(entry);
  assert.is(execution.attempts, 1, "only the slow stream goes on");
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
