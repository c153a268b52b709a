/** The operators' port, the StatsD metrics and the graceful stop of a daemon. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CallerAnswer, NO_ANSWER_STATUS } from "../../scripts/caller.ts";
import { MAX_TURN_GAP_MS } from "../../src/core/admission/read_delay.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import {
  type BenchOptions,
  ContractBench,
  TOKENS,
} from "../contracts/contract_bench.ts";
import { callRaw, type RawCall } from "../raw_caller.ts";

const STOP_TIMEOUT_MS = 200;
/** Time in which the daemon reads the head of a request. */
const HEAD_MS = 100;
/** Runs at a time of the bench's engine. */
const BATCH_SIZE = 4;
/** Time that a stop may take beyond its timeout, for last messages to peers and for closing sockets. */
const STOP_ALLOWANCE_MS = 3_000;

/** An answer larger than the buffers of a connection, within the largest one that is read. */
const TOKEN_COUNT = 16;
const TOKEN_PADDING = "x".repeat(900_000);

function createRawCall(bench: ContractBench): RawCall {
  return {
    host: "127.0.0.1",
    port: bench.callersPort,
    path: "/v1/chat/completions",
    httpVersion: "1.1",
    headers: { host: "entry", authorization: `Bearer ${TOKENS.derwent}` },
    requestBody: JSON.stringify({ model: "briefing" }),
  };
}

async function withBench(
  bench: ContractBench,
  use: () => Promise<void>,
): Promise<void> {
  try {
    await bench.start();
    await use();
  } finally {
    await bench.stop();
  }
}

async function putLevel(
  bench: ContractBench,
  body: string,
): Promise<{ status: number; answer: unknown }> {
  const response = await fetch(`http://${bench.operators}/log-level`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body,
  });
  return { status: response.status, answer: await response.json() };
}

test("the log level changes at run time, and invalid requests change nothing", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    const set = await putLevel(bench, '{"level":"warn"}');
    assert.equal(set, { status: 200, answer: { level: "warn" } });
    for (const body of ['{"level":"loud"}', "{", "[]"]) {
      assert.is((await putLevel(bench, body)).status, 400, body);
    }
    const shown = await fetch(`http://${bench.operators}/log-level`);
    assert.equal(await shown.json(), { level: "warn" });
    await putLevel(bench, '{"level":"silent"}');
  });
});

test("simulated partitions are refused unless the settings allow them", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    const response = await fetch(`http://${bench.operators}/cut`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: '{"platform":true}',
    });
    assert.is(response.status, 403);
  });
});

test("unknown paths and routes of the operators' port get JSON errors", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    for (const path of ["/other", "/explain/other", "/explain/%E0%A4%A"]) {
      const response = await fetch(`http://${bench.operators}${path}`);
      assert.ok(response.status >= 400, path);
      const { error } = await response.json() as { error: string };
      assert.type(error, "string");
    }
  });
});

test("gauges and histograms cover slots, leases, batch fill, first token and load stall", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    await bench.call();
    await bench.waitUntil("the gauges are updated", async () => {
      return (await bench.getStatus()).metrics.gauges["slots_resident"] === 1;
    });
    const { gauges, histograms } = (await bench.getStatus()).metrics;
    for (const name of ["requests", "leases", "queue", "batch_fill"]) {
      assert.type(gauges[name], "number", name);
    }
    assert.is(histograms["first_token"]?.count, 1);
    assert.is(histograms["load_stall"]?.count, 1);
  });
});

test("counters reach a StatsD server with prefix, host and reason", async () => {
  const server = createSocket("udp4");
  server.bind(0, "127.0.0.1");
  await once(server, "listening");
  const lines: string[] = [];
  server.on("message", (bytes) => lines.push(...String(bytes).split("\n")));
  const address = `127.0.0.1:${server.address().port}`;
  const bench = new ContractBench({
    settings: { metrics: { address, prefix: "site." } },
  });
  await withBench(bench, async () => {
    await bench.call({ token: "other" });
    await bench.waitUntil(
      "the counter arrives",
      () =>
        lines.some((line) =>
          line.startsWith("site.refused:1|c|#") &&
          line.includes("host:entry-1") &&
          line.includes("reason:unauthenticated")
        ),
    );
  });
  server.close();
});

/** Stops the bench and checks how long that takes. */
async function stopAtTimeout(bench: ContractBench): Promise<void> {
  const startedAt = performance.now();
  await bench.stop();
  const stoppedAfterMs = performance.now() - startedAt;
  assert.ok(stoppedAfterMs >= STOP_TIMEOUT_MS);
  assert.ok(stoppedAfterMs < STOP_TIMEOUT_MS + STOP_ALLOWANCE_MS);
}

/** Returns the answer; one without a status if the connection was closed before its head. */
function readAnswer(call: Promise<CallerAnswer>): Promise<CallerAnswer> {
  return call.catch(() => ({
    status: NO_ANSWER_STATUS,
    headers: new Headers(),
    text: "",
    isWhole: false,
    refusal: undefined,
  }));
}

function createStopBench(engine: BenchOptions["engine"] = {}): ContractBench {
  return new ContractBench({
    engine,
    route: { maxRunMs: 60_000 },
    settings: { stopTimeoutMs: STOP_TIMEOUT_MS },
  });
}

test("a run that outlasts the stop's timeout is answered as one that may have run, not cut", async () => {
  const bench = createStopBench();
  await bench.start();
  bench.engines[0]?.faults.nextRuns.push({ kind: "stall" });
  const call = readAnswer(bench.call());
  await bench.waitUntil(
    "the run starts",
    () => bench.engines[0]?.history.length === 1,
  );
  await stopAtTimeout(bench);
  const { status, isWhole, refusal } = await call;
  assert.is(status, 503);
  assert.ok(isWhole);
  assert.equal(
    [refusal?.reason, refusal?.outcome],
    [RefusalReason.Stopping, Outcome.MayHaveRun],
  );
});

test("a stream that outlasts the stop's timeout ends as broken with an error event", async () => {
  const bench = createStopBench({ tokens: 1_000, tokenIntervalMs: 20 });
  await bench.start();
  const call = readAnswer(bench.call({ stream: true }));
  await bench.waitUntil(
    "the run starts",
    () => bench.engines[0]?.history.length === 1,
  );
  await stopAtTimeout(bench);
  const { status, isWhole, refusal, text } = await call;
  assert.is(status, 200);
  assert.not.ok(isWhole);
  assert.not.match(text, "[DONE]");
  assert.equal(
    [refusal?.reason, refusal?.outcome],
    [RefusalReason.Stopping, Outcome.MayHaveRun],
  );
});

test("an at-most-once run that outlasts the stop's timeout is answered as one that may have run", async () => {
  const bench = createStopBench();
  await bench.start();
  bench.service.faults.runTimeMs = 5_000;
  const call = readAnswer(
    bench.callWithTicket({ path: "/v1/services/unlock", body: {} }),
  );
  await bench.waitUntil("the run starts", () => bench.service.ran.length === 1);
  await stopAtTimeout(bench);
  const { status, refusal } = await call;
  assert.is(status, 503);
  assert.equal(
    [refusal?.reason, refusal?.outcome],
    [RefusalReason.Stopping, Outcome.MayHaveRun],
  );
});

test("a request that still waits at the stop's timeout is answered as one that did not run", async () => {
  const bench = createStopBench();
  await bench.start();
  const [engine] = bench.engines;
  const runs = Array.from({ length: BATCH_SIZE }, () => {
    engine?.faults.nextRuns.push({ kind: "stall" });
    return readAnswer(bench.call());
  });
  await bench.waitUntil(
    "the batch is full",
    () => engine?.history.length === BATCH_SIZE,
  );
  const waiting = readAnswer(bench.call());
  await bench.waitUntil("the next request waits", async () => {
    return (await bench.getStatus()).execution.requests === BATCH_SIZE + 1;
  });
  await stopAtTimeout(bench);
  const { status, refusal } = await waiting;
  assert.is(status, 503);
  assert.equal(
    [refusal?.reason, refusal?.outcome],
    [RefusalReason.Stopping, Outcome.NotRun],
  );
  assert.is(engine?.history.length, BATCH_SIZE);
  for (const { refusal } of await Promise.all(runs)) {
    assert.is(refusal?.outcome, Outcome.MayHaveRun);
  }
});

test("a whole answer that a slow caller still reads is not cut by a stop", async () => {
  const bench = new ContractBench({
    engine: { tokens: TOKEN_COUNT },
  });
  await bench.start();
  const [engine] = bench.engines;
  if (engine) engine.tokenPadding = TOKEN_PADDING;
  const call = callRaw({
    ...createRawCall(bench),
    // Longer than the time that a stop takes after its last request.
    pauseMs: 2_000,
  });
  await bench.waitUntil(
    "the answer is being sent",
    async () =>
      (await bench.getStatus()).execution.requests === 0 &&
      engine?.history[0]?.ended === "completed",
  );
  await bench.stop();
  const { status, body, isComplete } = await call;
  assert.is(status, 200);
  assert.ok(isComplete, `${body.length} bytes`);
  assert.ok(body.length > TOKEN_COUNT * TOKEN_PADDING.length);
});

test("calls that come during a stop are refused at once and their connections closed", async () => {
  const bench = createStopBench();
  await bench.start();
  bench.engines[0]?.faults.nextRuns.push({ kind: "stall" });
  const running = readAnswer(bench.call());
  await bench.waitUntil(
    "the run starts",
    () => bench.engines[0]?.history.length === 1,
  );
  const stopped = bench.stop();
  const late = await bench.call();
  assert.is(late.status, 503);
  assert.equal(
    [late.refusal?.reason, late.refusal?.outcome],
    [RefusalReason.Stopping, Outcome.NotRun],
  );
  assert.is(late.headers.get("connection"), "close");
  const unauthenticated = await bench.call({ token: "other" });
  assert.is(unauthenticated.status, 401);
  assert.is(unauthenticated.headers.get("connection"), "close");
  await stopped;
  assert.is((await running).headers.get("connection"), "close");
});

/** Returns the bytes of a call that authenticates as a customer. */
function formatCall(): string {
  const body = JSON.stringify({ model: "briefing" });
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n" +
    `Authorization: Bearer ${TOKENS.derwent}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

test("a call that lies unread beside its caller's close is run", async () => {
  const bench = new ContractBench({
    engine: { tokens: 10, tokenIntervalMs: 40 },
  });
  await withBench(bench, async () => {
    await bench.call();
    for (let index = 0; index < 10; index += 1) {
      connect(bench.callersPort, "127.0.0.1").end(formatCall());
    }
    await sleep(HEAD_MS);
    assert.is(bench.engines[0]?.history.length, 1);
  });
});

test("the time for which a call lay unread is missing from its wait, and from its deadline", async () => {
  const bench = new ContractBench({ route: { queueDeadlineMs: 5_000 } });
  await withBench(bench, async () => {
    await bench.call();
    const socket = connect(bench.callersPort, "127.0.0.1");
    await once(socket, "connect");
    // Long enough that turns of the event loop have been observed.
    await sleep(4 * MAX_TURN_GAP_MS);
    socket.write(formatCall());
    for (const endsAt = performance.now() + 700; performance.now() < endsAt;);
    const getWait = async () =>
      (await bench.getStatus()).metrics.histograms["lease_wait"];
    await bench.waitUntil(
      "the call is dispatched",
      async () => (await getWait())?.count !== undefined,
    );
    const wait = await getWait();
    assert.ok(Number(wait?.maxMs) >= 250, `waited ${wait?.maxMs} ms`);
    socket.destroy();
  });
});

test("calls go on whose caller left and that waited for the response before theirs", async () => {
  const bench = new ContractBench({
    engine: { tokens: 10, tokenIntervalMs: 400 },
  });
  await withBench(bench, async () => {
    const socket = connect(bench.callersPort, "127.0.0.1");
    socket.write(formatCall().repeat(3));
    await bench.waitUntil(
      "all runs start",
      () => bench.engines[0]?.history.length === 3,
    );
    socket.end();
    await bench.waitUntil(
      "all runs are cancelled",
      () =>
        bench.engines[0]?.history.every((run) =>
          run.ended === "cancelled" || run.ended === "cut"
        ) ??
          false,
    );
  });
});

test("a pipelined call that has run is cut by a stop with the answer before it", async () => {
  const bench = new ContractBench({
    engine: { tokens: 10, tokenIntervalMs: 40 },
  });
  await bench.start();
  const call = formatCall();
  const socket = connect(bench.callersPort, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => text += chunk.toString());
  socket.write(call + call);
  await bench.waitUntil(
    "both runs start",
    () => bench.engines[0]?.history.length === 2,
  );
  await Promise.all([once(socket, "close"), bench.stop()]);
  assert.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2);
});

for (const ticket of [undefined, "entry-2~i1~1~check"]) {
  const outcome = ticket === undefined ? Outcome.NotRun : Outcome.MayHaveRun;
  test(`a call whose body is not whole when the daemon goes is answered as ${outcome}`, async () => {
    const bench = new ContractBench();
    await bench.start();
    const call = createRawCall(bench);
    const answer = callRaw({
      ...call,
      headers: {
        ...call.headers,
        ...(ticket === undefined ? {} : { "idempotency-key": ticket }),
      },
      sentBodyBytes: 3,
    });
    await sleep(HEAD_MS);
    await bench.stop();
    const { status, body, isComplete } = await answer;
    assert.is(status, 503);
    assert.ok(isComplete);
    const { error } = JSON.parse(body);
    assert.equal([error.reason, error.outcome], ["stopping", outcome]);
  });
}

test.run();
