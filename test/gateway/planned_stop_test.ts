/**
 * Requests that were cut without an answer in a planned stop: those that were
 * taken late in the grace period or were left at its end, and all of them after
 * a second stop signal. Every request that a stopping gateway reads gets an
 * answer of its own before the process ends.
 */
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildPlatformRoute } from "../../fakes/platform_configuration.ts";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness, GRACE_MS } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** Longer than the grace period. */
const LONG_TIMEOUT_MS = 9_000;
/** A request that its upstream runs for longer than the grace period. */
const ENDLESS: ScriptedAnswer = {
  framing: "length",
  body: "",
  sentHeadBytes: 0,
  end: "keep",
};
const SERVED: ScriptedAnswer = {
  framing: "length",
  body: "whole",
  end: "keep",
};
const REJECTED_LATE: ScriptedAnswer = {
  statusLine: "HTTP/1.1 503 Service Unavailable",
  headers: { "X-Not-Run": "1" },
  framing: "length",
  body: "",
  delayMs: 2_500,
  end: "keep",
};
const BEGUN_STREAM: ScriptedAnswer = {
  framing: "chunked",
  headers: { "Content-Type": "text/event-stream" },
  body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
  sentBytes: 15,
  end: "keep",
};

test.before(async () => {
  harness.arrange = () =>
    harness.publish([
      ["long-unsafe", "unsafe", "orders"],
      ["long-safe", "safe", "orders"],
      ["long-brief", "stream", "briefs"],
      ["long-resume", "stream", "briefs"],
    ].map(([name = "", kind = "", service = ""]) =>
      buildPlatformRoute(name, kind, service, {
        timeout_ms: LONG_TIMEOUT_MS,
        // Far beyond what any upstream takes here to send its first event.
        target_latency_ms: name === "long-safe" ? 150 : 4_000,
        resumable: name === "long-resume",
        attempts: name === "long-resume" || name === "long-safe" ? 2 : 1,
      })
    ));
  await harness.start({ gateways: 4, engines: 1, services: 1 });
  // The adapter is loaded before the stop.
  await harness.call("/brief/1", { gateway: 0 });
});
test.after(() => harness.stop());

const BROKEN_STREAM: ScriptedAnswer = {
  ...BEGUN_STREAM,
  delayMs: 2_500,
  end: "close",
};
const REST_OF_STREAM: ScriptedAnswer = {
  framing: "chunked",
  headers: { "Content-Type": "text/event-stream" },
  body: "id: 2\ndata: b\n\n",
  end: "keep",
};

interface StopRow {
  name: string;
  path: string;
  /** When the request is sent, from the stop signal. */
  sentMs: number;
  deadlineMs?: number;
  script: ScriptedAnswer;
  /** How the next attempt is answered; served by default. */
  next?: ScriptedAnswer;
  status: number;
  /** Attempts that reach an upstream. */
  attempts: number;
  isComplete?: boolean;
  /** Whether the response ends only at the end of the grace. */
  isLast?: boolean;
}

/** The part of the grace that the last responses and the exit may take. */
const EXIT_MS = 400;

const READ_BEFORE: StopRow[] = ([
  {
    name: "a resumable stream that breaks off in the grace",
    path: "/long-resume/1",
    script: BROKEN_STREAM,
    next: REST_OF_STREAM,
    status: 200,
    attempts: 2,
  },
  {
    name: "a resumable stream whose rest outlasts the grace",
    path: "/long-resume/1",
    script: BROKEN_STREAM,
    next: { ...BEGUN_STREAM, body: REST_OF_STREAM.body, sentBytes: 9 },
    status: 200,
    isComplete: false,
    isLast: true,
    attempts: 2,
  },
  {
    name: "an idempotent request whose upstream breaks late in the grace",
    path: "/long-safe/1",
    script: { ...ENDLESS, delayMs: 4_200, end: "close" },
    status: 502,
    attempts: 1,
  },
  {
    name: "a non-idempotent request that runs on",
    path: "/long-unsafe/1",
    script: ENDLESS,
    status: 504,
    isLast: true,
    attempts: 1,
  },
  {
    name: "an idempotent request that runs on",
    path: "/long-safe/1",
    script: ENDLESS,
    status: 504,
    isLast: true,
    attempts: 1,
  },
  {
    name: "a stream without an event",
    path: "/long-brief/1",
    script: ENDLESS,
    status: 504,
    isLast: true,
    attempts: 1,
  },
  {
    name: "a stream that has begun",
    path: "/long-brief/1",
    script: BEGUN_STREAM,
    status: 200,
    isComplete: false,
    isLast: true,
    attempts: 1,
  },
  {
    name: "a non-idempotent request that its upstream rejects in the grace",
    path: "/long-unsafe/1",
    script: REJECTED_LATE,
    status: 503,
    attempts: 1,
  },
] satisfies Omit<StopRow, "sentMs">[]).map((row) => ({ ...row, sentMs: -200 }));

const READ_LATER: StopRow[] = [
  ...[50, 700, 1_400, 4_000].map((sentMs): StopRow => ({
    name:
      `a non-idempotent request read ${sentMs} ms after the signal that may outlast the grace`,
    path: "/long-unsafe/1",
    sentMs,
    script: ENDLESS,
    status: 503,
    attempts: 0,
  })),
  {
    name:
      "a non-idempotent request whose caller waits no longer than the grace",
    path: "/long-unsafe/1",
    sentMs: 1_000,
    deadlineMs: 2_500,
    script: SERVED,
    status: 200,
    attempts: 1,
  },
  {
    name: "a non-idempotent request whose deadline passes within the grace",
    path: "/long-unsafe/1",
    sentMs: 1_000,
    deadlineMs: 2_500,
    script: ENDLESS,
    status: 504,
    attempts: 1,
  },
  {
    name: "an idempotent request that is served in the grace",
    path: "/long-safe/1",
    sentMs: 1_400,
    script: SERVED,
    status: 200,
    attempts: 1,
  },
  {
    name: "an idempotent request that outlasts the grace",
    path: "/long-safe/1",
    sentMs: 1_400,
    script: ENDLESS,
    next: ENDLESS,
    status: 504,
    isLast: true,
    attempts: 2,
  },
  {
    name: "an idempotent request that can hardly be served in time",
    path: "/long-safe/1",
    sentMs: 4_300,
    script: ENDLESS,
    status: 503,
    attempts: 0,
  },
  {
    name: "a stream that is begun in the grace and outlasts it",
    path: "/long-brief/1",
    sentMs: 1_000,
    script: BEGUN_STREAM,
    status: 200,
    isComplete: false,
    isLast: true,
    attempts: 1,
  },
];

test("a request left at the end of the grace is cut without an answer", async () => {
  const [gateway] = harness.gateways;
  if (!gateway) throw new Error("expected a gateway");
  const signalAt = performance.now() + 300;
  const answers = [...READ_BEFORE, ...READ_LATER].map(async (row, index) => {
    const id = `left-${index}`;
    harness.scriptAnswers(id, [row.script, row.next ?? SERVED]);
    await waitMs(signalAt + row.sentMs - performance.now());
    const answer = await harness.callRaw(row.path, {
      httpVersion: "1.1",
      id,
      headers: { "X-Deadline-Ms": String(row.deadlineMs ?? LONG_TIMEOUT_MS) },
    });
    return { row, id, answer, elapsedMs: performance.now() - signalAt };
  });
  const withoutWholeBody = (async () => {
    await waitMs(signalAt + 1_000 - performance.now());
    return await sendPart(
      "POST /long-unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
        "X-Request-Id: left-part\r\nContent-Length: 10\r\n\r\npart",
    );
  })();
  await waitMs(signalAt - performance.now());
  await gateway.stop();
  const stopMs = performance.now() - signalAt;
  assert.ok(stopMs < GRACE_MS, `the process would end after ${stopMs} ms`);
  for (const { row, id, answer, elapsedMs } of await Promise.all(answers)) {
    const { status, isComplete } = answer;
    const { name, attempts } = row;
    assert.equal(
      { name, status, isComplete, attempts: harness.countRuns(id) },
      {
        name,
        status: row.status,
        isComplete: row.isComplete ?? true,
        attempts,
      },
    );
    const isLast = elapsedMs > GRACE_MS - EXIT_MS;
    assert.is(isLast, row.isLast ?? false, `${name}: ${elapsedMs} ms`);
    if (status === 503) assert.match(answer.head, /retry-after: 0\.\d/);
  }
  assert.match(await withoutWholeBody, /^HTTP\/1\.1 503 /);
  assert.is(harness.countRuns("left-part"), 0);
});

/** Sends bytes to a gateway, the first by default; resolves with all that it answers. */
function sendPart(bytes: string, ip = "127.0.0.1"): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(harness.getCallerPort(), ip);
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("close", () => resolve(text));
    socket.write(bytes);
  });
}

test("a second stop signal cuts the requests in progress", async () => {
  const gateway = harness.gateways[1];
  if (!gateway) throw new Error("expected a second gateway");
  harness.scriptAnswers("twice", [{ ...SERVED, delayMs: 1_500 }]);
  const answer = harness.callRaw("/long-unsafe/1", {
    gateway: 1,
    httpVersion: "1.1",
    id: "twice",
    headers: { "X-Deadline-Ms": String(LONG_TIMEOUT_MS) },
  });
  await waitMs(200);
  let isAnswered = false;
  void answer.then(() => isAnswered = true);
  const first = gateway.stop();
  // The process exits as soon as any of the two has resolved.
  await Promise.race([first, gateway.stop()]);
  assert.ok(isAnswered);
  assert.is((await answer).status, 200);
  await first;
});

/** Time from the opening of a connection until its request is sent. */
const REQUEST_DELAY_MS = 40;

test("a request that is read as the process ends is cut without an answer", async () => {
  const gateway = harness.gateways[2];
  if (!gateway) throw new Error("expected a third gateway");
  // Keeps the gateway at work until the end of the grace.
  harness.scriptAnswers("keeps-on", [ENDLESS]);
  void harness.callRaw("/long-safe/1", {
    gateway: 2,
    httpVersion: "1.1",
    id: "keeps-on",
    headers: { "X-Deadline-Ms": String(LONG_TIMEOUT_MS) },
  });
  await waitMs(100);
  let stoppedAt = Number.POSITIVE_INFINITY;
  void gateway.stop().then(() => stoppedAt = performance.now());
  const calls: Promise<{ sentAt: number; text: string }>[] = [];
  while (stoppedAt === Number.POSITIVE_INFINITY) {
    calls.push(callOnNewConnection(`ending-${calls.length}`));
    await waitMs(10);
  }
  const answers = await Promise.all(calls);
  // A request that is sent as the connection is closed crosses the close.
  const lost = answers.filter(({ sentAt, text }, index) =>
    !/^HTTP\/1\.1 (200|503) /.test(text) &&
    (sentAt < stoppedAt - REQUEST_DELAY_MS ||
      harness.countRuns(`ending-${index}`) > 0)
  );
  assert.equal(lost, []);
  assert.ok(answers.some(({ text }) => text.startsWith("HTTP/1.1 200 ")));
});

/**
 * Opens a connection to the third gateway and sends a request on it a moment
 * later; `sentAt` is infinite if the connection was refused.
 */
function callOnNewConnection(
  id: string,
): Promise<{ sentAt: number; text: string }> {
  return new Promise((resolve) => {
    const socket = connect(harness.getCallerPort(), "127.0.0.3");
    let sentAt = Number.POSITIVE_INFINITY;
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("connect", async () => {
      await waitMs(REQUEST_DELAY_MS);
      sentAt = performance.now();
      socket.write(
        "POST /unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
          `X-Request-Id: ${id}\r\nX-Deadline-Ms: 2500\r\n` +
          "Connection: close\r\nContent-Length: 0\r\n\r\n",
      );
    });
    socket.on("close", () => resolve({ sentAt, text }));
  });
}

test("a pipelined request that was passed on is cut with the response before it", async () => {
  const gateway = harness.gateways[3];
  if (!gateway) throw new Error("expected a fourth gateway");
  harness.scriptAnswers("piped-0", [{ ...SERVED, delayMs: 600 }]);
  harness.scriptAnswers("piped-1", [{ ...SERVED, delayMs: 1_200 }]);
  const requests = ["piped-0", "piped-1"].map((id) =>
    "POST /unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
    `X-Request-Id: ${id}\r\nX-Deadline-Ms: 2500\r\n` +
    "Content-Length: 0\r\n\r\n"
  );
  const answers = sendPart(requests.join(""), "127.0.0.4");
  await waitMs(200);
  await gateway.stop();
  assert.is(harness.countRuns("piped-1"), 1);
  assert.is((await answers).match(/HTTP\/1\.1 200 /g)?.length, 2);
});

test.run();
