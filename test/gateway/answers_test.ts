/**
 * How the gateway handles faulty replicas: for each fault, the response that
 * the caller gets, and how often the request ran.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type FakePlatformReplica,
  type ReplicaBehaviour,
  STREAM_EVENT_COUNT,
} from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 1, engines: 2, services: 2 });
});
test.after(() => harness.stop());

interface FaultRow {
  fault: ReplicaBehaviour;
  path: string;
  status: number;
  runs: number;
}

/** Makes the replica that is asked first show the fault; the others work. */
function setFaultOnce(
  replicas: FakePlatformReplica[],
  fault: ReplicaBehaviour,
): void {
  const behaviours = [fault];
  for (const replica of replicas) replica.behaviours = behaviours;
}

const ANSWER = "the whole answer of the service";
const ROWS: FaultRow[] = [
  { fault: "answer", path: "/unsafe/1", status: 200, runs: 1 },
  { fault: "unframed", path: "/unsafe/1", status: 200, runs: 1 },
  { fault: "fail", path: "/safe/1", status: 200, runs: 2 },
  { fault: "fail", path: "/unsafe/1", status: 500, runs: 1 },
  { fault: "shed", path: "/safe/1", status: 200, runs: 1 },
  { fault: "shed", path: "/unsafe/1", status: 200, runs: 1 },
  { fault: "reset", path: "/safe/1", status: 200, runs: 2 },
  { fault: "reset", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "truncate", path: "/safe/1", status: 200, runs: 2 },
  { fault: "truncate", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "unframedReset", path: "/safe/1", status: 200, runs: 2 },
  { fault: "unframedReset", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "wrongId", path: "/safe/1", status: 200, runs: 2 },
  { fault: "wrongId", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "noProof", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "encoded", path: "/unsafe/1", status: 502, runs: 1 },
  { fault: "hang", path: "/safe/1", status: 200, runs: 2 },
];

for (const { fault, path, status, runs } of ROWS) {
  test(`${path}: behaviour ${fault} gives status ${status} after ${runs} runs`, async () => {
    const id = `${fault}-${path}`;
    setFaultOnce(harness.services, fault);
    const answer = await harness.call(path, { id, body: id });
    assert.is(answer.status, status);
    assert.ok(answer.isComplete);
    if (status === 200) assert.is(answer.body, ANSWER);
    assert.is(harness.countRuns(id), runs);
  });
}

test("an unrequested second response on a kept-alive connection reaches no caller", async () => {
  for (const service of harness.services) service.behaviours = ["extra"];
  await harness.call("/safe/1");
  await harness.call("/safe/1");
  const answers = await Promise.all(
    Array.from({ length: 6 }, () => harness.call("/safe/1")),
  );
  for (const answer of answers) assert.is(answer.body, ANSWER);
});

test("a stream is complete, and its adapter is loaded for it", async () => {
  const answer = await harness.call("/brief/1");
  assert.is(answer.status, 200);
  assert.ok(answer.isComplete);
  const events = answer.body.match(/data: piece \d/g) ?? [];
  assert.is(events.length, STREAM_EVENT_COUNT);
  const orders = harness.engines.flatMap((engine) => engine.receivedOrders);
  assert.ok(orders.some((order) => order.adapter === "a1"));
});

test("an interrupted stream never looks complete to its caller", async () => {
  for (const engine of harness.engines) engine.behaviours = ["breakStream"];
  const id = "broken-stream";
  const answer = await harness.call("/brief/1", { id });
  assert.not(answer.isComplete);
  assert.is(harness.countRuns(id), 1);
  for (const engine of harness.engines) engine.behaviours = [];
});

test("a resumable stream continues on another engine, with each event sent once", async () => {
  setFaultOnce(harness.engines, "breakStream");
  const id = "resumed-stream";
  const answer = await harness.call("/resume/1", { id });
  assert.ok(answer.isComplete);
  const ids = [...answer.body.matchAll(/id: (\d+)/g)].map(([, number]) =>
    number
  );
  assert.equal(ids, ["1", "2", "3", "4"]);
  const resumedAfter = harness.engines.flatMap((engine) =>
    engine.receivedRequests
  )
    .filter((seen) => seen.id === id)
    .map((seen) => seen.headers["last-event-id"] ?? "");
  assert.equal(resumedAfter.sort(), ["", "2"]);
  for (const engine of harness.engines) engine.behaviours = [];
});

test("a whole stream without length or chunks is complete", async () => {
  setFaultOnce(harness.engines, "unframedStream");
  const answer = await harness.call("/brief/1");
  assert.is(answer.status, 200);
  assert.ok(answer.isComplete);
  const events = answer.body.match(/data: piece \d\n\n/g) ?? [];
  assert.is(events.length, STREAM_EVENT_COUNT);
});

test("a stream without length or chunks that is closed inside an event never looks complete", async () => {
  setFaultOnce(harness.engines, "unframedStreamEndsInEvent");
  const answer = await harness.call("/brief/1");
  assert.not(answer.isComplete);
  const events = answer.body.match(/data: piece \d\n\n/g) ?? [];
  assert.is(events.length, 2);
});

test("a stream without length or chunks that is closed before its first event never looks complete", async () => {
  setFaultOnce(harness.engines, "unframedStreamWithoutEvent");
  const answer = await harness.call("/brief/1");
  assert.is(answer.status, 502);
});

for (const lineEnd of ["\r\n", "\r"]) {
  test(`a stream with the line end ${JSON.stringify(lineEnd)} is forwarded event by event, and resumed after the last one`, async () => {
    const id = `line-end-${lineEnd.length}`;
    const events = [1, 2, 3, 4].map((event) =>
      `id: ${event}${lineEnd}data: piece${lineEnd}${lineEnd}`
    );
    const length = events[0]?.length ?? 0;
    harness.scriptAnswers(id, [{
      framing: "chunked",
      body: events.join(""),
      sentBytes: 2 * length + 5,
      end: "close",
    }, {
      framing: "chunked",
      body: events.slice(2).join(""),
      end: "close",
    }]);
    const answer = await harness.call("/resume/1", { id });
    assert.ok(answer.isComplete);
    assert.is(answer.body, events.join(""));
    const resumedAfter = harness.listRuns(id)
      .map((run) => run.headers["last-event-id"] ?? "");
    assert.equal(resumedAfter.sort(), ["", "2"]);
  });
}

for (
  const fault of [
    "unframedStreamEndsInEvent",
    "unframedStreamWithoutEvent",
  ] as const
) {
  test(`a resumable stream goes on after ${fault}, with each event sent once`, async () => {
    setFaultOnce(harness.engines, fault);
    const answer = await harness.call("/resume/1");
    assert.ok(answer.isComplete);
    const ids = [...answer.body.matchAll(/id: (\d+)\n/g)]
      .map(([, number]) => number);
    assert.equal(ids, ["1", "2", "3", "4"]);
  });
}

test("the replica's work is cancelled when the caller disconnects", async () => {
  for (const engine of harness.engines) engine.behaviours = ["slow"];
  const id = "left";
  await harness.call("/brief/1", { id, disconnectAfterMs: 300 }).catch(() =>
    undefined
  );
  await waitMs(200);
  const seen = harness.engines.flatMap((engine) => engine.receivedRequests)
    .find((each) => each.id === id);
  assert.ok(seen?.wasAborted);
  for (const engine of harness.engines) engine.behaviours = [];
});

test("method, path, query, body and custom headers are forwarded unchanged, a caller's reserved headers are removed", async () => {
  const id = "unchanged";
  await harness.call("/unsafe/a%20b?x=1&y=%2F", {
    id,
    method: "PUT",
    body: "kept",
    headers: {
      "X-Custom": "kept",
      "X-Hold": "h",
      "Kv-From": "10.0.0.1:1/h",
      "X-Request-Priority": "0",
    },
  });
  const seen = harness.services.flatMap((service) => service.receivedRequests)
    .find((each) => each.id === id);
  assert.is(seen?.method, "PUT");
  assert.is(seen?.url, "/unsafe/a%20b?x=1&y=%2F");
  assert.is(seen?.body, "kept");
  assert.is(seen?.headers["x-custom"], "kept");
  for (const name of ["x-hold", "kv-from", "x-request-priority"]) {
    assert.is(seen?.headers[name], undefined, name);
  }
  assert.ok(Number(seen?.headers["x-deadline-ms"]) <= 2_500);
});

test("an unknown route gives 404, an oversized body 413", async () => {
  assert.is((await harness.call("/nowhere/1")).status, 404);
  const long = await harness.call("/safe/1", { body: "x".repeat(100_001) });
  assert.is(long.status, 413);
});

test("a route's timeout ends a request that its upstream does not answer", async () => {
  harness.routeOverrides = {
    ...harness.routeOverrides,
    unsafe: { timeout_ms: 400 },
  };
  harness.publish();
  await waitMs(600);
  for (const service of harness.services) service.behaviours = ["hang"];
  const startedAt = Date.now();
  const answer = await harness.call("/unsafe/1", { body: "held" });
  assert.is(answer.status, 504);
  assert.ok(Date.now() - startedAt < 700);
  for (const service of harness.services) service.behaviours = [];
});

test.run();
