/**
 * Heads of answers that break off at any offset: framing, HTTP version, line end,
 * interim answers, how the connection ends and whether it was used before. No part
 * of a head begins an answer to the caller, and no part of a body ends one.
 */
import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptResult } from "../../src/core/outcomes.ts";
import { PoolKind } from "../../src/core/structures.ts";
import type { ResponseSink } from "../../src/daemon/exchange.ts";
import { createDispatch, createUpstreamTask } from "./upstream_task_fixture.ts";

const MODEL = "briefing@v1";
const INCARNATION = "s1";
const STATE = JSON.stringify({ incarnation: INCARNATION });
/** Attempts that run at the same time. */
const CONCURRENCY = 40;
/** Time in which a connection becomes idle after an answer. */
const IDLE_MS = 2;
/** Time before a reset, in which the daemon reads what precedes it. */
const RESET_DELAY_MS = 5;

const KINDS = ["service", "engine", "stream"] as const;
type Kind = (typeof KINDS)[number];
const FRAMINGS = ["length", "chunked", "close"] as const;
const ENDS = ["close", "reset", "resetAtOnce"] as const;

interface Variant {
  kind: Kind;
  framing: (typeof FRAMINGS)[number];
  httpVersion?: "1.0" | "1.1";
  lineEnd?: "\r\n" | "\n";
  /** Head of an interim answer that precedes the answer. */
  interim?: string;
  /** Whether the connection has carried a whole answer before. */
  isKept?: boolean;
  /** Whether the answer is the rest of a stream that was cut after its first event. */
  isRest?: boolean;
  status?: "200 OK" | "503 Service Unavailable";
}

interface Cut {
  variant: Variant;
  sentBytes: number;
  end: (typeof ENDS)[number];
}

interface AttemptEnd {
  result: AttemptResult;
  /** What the caller would receive; undefined if the answer has not begun. */
  body: string | undefined;
}

interface Observation extends AttemptEnd {
  cut: Cut;
}

const FIRST_EVENT = `data: {"model":"${MODEL}"}\n\n`;
const LAST_EVENT = "data: [DONE]\n\n";
const BODIES: Record<Kind, string> = {
  service: "0123456789abcdef",
  engine: JSON.stringify({ model: MODEL, text: "the whole answer" }),
  stream: FIRST_EVENT + LAST_EVENT,
};

function getBody({ kind, isRest }: Variant): string {
  return isRest ? LAST_EVENT : BODIES[kind];
}

/** Returns the answer; the line that frames the body ends its head. */
function formatAnswer(
  variant: Variant,
  attemptId: string,
): { head: string; answer: string } {
  const { kind, framing, httpVersion = "1.1", lineEnd = "\r\n" } = variant;
  const body = getBody(variant);
  const framingLine = {
    length: `content-length: ${body.length}`,
    chunked: "transfer-encoding: chunked",
    close: "connection: close",
  }[framing];
  const lines = [
    `HTTP/${httpVersion} ${variant.status ?? "200 OK"}`,
    `x-request-id: ${attemptId}`,
    `x-served-model: ${MODEL}`,
    `x-incarnation: ${INCARNATION}`,
    `content-type: ${
      kind === "stream" ? "text/event-stream" : "application/json"
    }`,
    framingLine,
  ].map((line) => `${line}${lineEnd}`).join("");
  const head = `${variant.interim ?? ""}${lines}${lineEnd}`;
  const payload = framing === "chunked"
    ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    : body;
  return { head, answer: head + payload };
}

function endConnection(socket: Socket, end: Cut["end"]): void {
  switch (end) {
    case "close":
      socket.end();
      break;
    case "reset":
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      break;
    case "resetAtOnce":
      socket.resetAndDestroy();
      break;
  }
}

/** The request by which a stream is resumed. */
const RESUMPTION = /^GET \/v1\/requests\/([^/]+)\/stream/;

/** Returns a whole answer that is read and ends the attempt. */
function formatWhole(attemptId: string): string {
  const id = attemptId === "" ? "" : `x-request-id: ${attemptId}\r\n`;
  return `HTTP/1.1 200 OK\r\n${id}content-length: ${STATE.length}\r\n\r\n${STATE}`;
}

/** Returns the answer to an attempt that came on another connection than it should. */
function formatRefusal(attemptId: string): string {
  return `HTTP/1.1 503 Service Unavailable\r\nx-request-id: ${attemptId}\r\ncontent-length: 0\r\n\r\n`;
}

/** Returns a stream that breaks off after its first event. */
function formatStreamBeginning(attemptId: string): string {
  const { head } = formatAnswer(
    { kind: "stream", framing: "length" },
    attemptId,
  );
  return head + FIRST_EVENT;
}

/** Starts an upstream that cuts the answer to each attempt as its entry says. */
async function startUpstream(
  cuts: ReadonlyMap<string, Cut>,
): Promise<{ address: string; stop: () => void }> {
  const server = createServer((socket) => {
    let hasAnswered = false;
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const text = bytes.toString("latin1");
      const attemptId = /x-request-id: (\S+)/i.exec(text)?.[1] ??
        RESUMPTION.exec(text)?.[1] ?? "";
      const cut = cuts.get(attemptId);
      if (!cut) {
        hasAnswered = true;
        socket.write(formatWhole(attemptId));
        return;
      }
      const { variant, sentBytes, end } = cut;
      if (!variant.isRest && RESUMPTION.test(text)) {
        socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
        return;
      }
      if (variant.isKept && !hasAnswered) {
        socket.write(formatRefusal(attemptId));
        return;
      }
      if (variant.isRest && !RESUMPTION.test(text)) {
        socket.end(formatStreamBeginning(attemptId));
        return;
      }
      const { answer } = formatAnswer(variant, attemptId);
      const sent = Buffer.from(answer.slice(0, sentBytes), "latin1");
      socket.write(sent, () => endConnection(socket, end));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, stop: () => void server.close() };
}

class Recorder implements ResponseSink {
  body: string | undefined;

  begin(): void {
    this.body = "";
  }

  write(chunk: Uint8Array): boolean {
    this.body += Buffer.from(chunk).toString("latin1");
    return true;
  }

  waitUntilDrained(): Promise<void> {
    return Promise.resolve();
  }
}

/** Runs an attempt for each cut, some at a time. */
async function observe(kind: Kind, cuts: Cut[]): Promise<Observation[]> {
  const entries = cuts.map((cut, index) =>
    [`attempt-${String(index).padStart(5, "0")}`, cut] as const
  );
  const upstream = await startUpstream(new Map(entries));
  const isService = kind === "service";
  const { bus, task, addExchange } = createUpstreamTask(
    isService ? "/services/orders" : "/v1/completions",
  );
  const results = new Map<string, (result: AttemptResult) => void>();
  bus.on("event", (event) => {
    if (event.kind !== "attemptEnded") return;
    results.get(event.attemptId)?.(event.result);
  });
  const run = async (attemptId: string): Promise<AttemptEnd> => {
    const sink = new Recorder();
    addExchange(attemptId, sink);
    const ended = new Promise<AttemptResult>((resolve) =>
      results.set(attemptId, resolve)
    );
    void bus.emit(
      "dispatch",
      createDispatch({
        attemptId,
        requestId: attemptId,
        upstreamKind: isService ? PoolKind.Service : PoolKind.Engine,
        upstreamIncarnation: INCARNATION,
        address: upstream.address,
        model: isService ? "orders" : MODEL,
      }, { name: "orders", idempotent: true }),
    );
    return { result: await ended, body: sink.body };
  };
  const observations: Observation[] = [];
  const waiting = [...entries];
  const worker = async (): Promise<void> => {
    for (let entry = waiting.pop(); entry; entry = waiting.pop()) {
      const [attemptId, cut] = entry;
      if (cut.variant.isKept) {
        await run(`${attemptId}-earlier`);
        await sleep(IDLE_MS);
      }
      observations.push({ cut, ...await run(attemptId) });
    }
  };
  const isKept = cuts.some(({ variant }) => variant.isKept);
  const workers = isKept ? 1 : CONCURRENCY;
  await Promise.all(Array.from({ length: workers }, worker));
  await task.stop();
  upstream.stop();
  return observations;
}

function describeCut({ variant, sentBytes, end }: Cut): string {
  return JSON.stringify({ ...variant, sentBytes, end });
}

/** Cuts the head at each offset, and the body once. */
function listCuts(variant: Variant): Cut[] {
  const { head, answer } = formatAnswer(variant, "attempt-00000");
  const offsets = [...Array(head.length).keys()];
  // After a cut body the pool of connections opens others.
  if (!variant.isKept) offsets.push(answer.length - 9);
  return offsets.flatMap((sentBytes) =>
    ENDS.map((end) => ({ variant, sentBytes, end }))
  );
}

async function checkCuts(variant: Variant): Promise<void> {
  const { head, answer } = formatAnswer(variant, "attempt-00000");
  const cuts = listCuts(variant);
  const observations = await observe(variant.kind, cuts);
  assert.is(observations.length, cuts.length);
  for (const { cut, result, body } of observations) {
    const hasHead = cut.sentBytes >= head.length;
    // A close is the end of an unframed answer of an upstream that lives on.
    const isTraceless = hasHead && variant.framing === "close" &&
      variant.kind === "service" && cut.end === "close";
    if (isTraceless) continue;
    if (hasHead && variant.status !== undefined) continue;
    assert.is.not(result.kind, "completed", describeCut(cut));
    if (hasHead) continue;
    assert.is(result.kind, "lost", describeCut(cut));
    const received = variant.isRest ? FIRST_EVENT : undefined;
    assert.is(body, received, describeCut(cut));
  }
  // The whole answer, so that the cuts are cuts of an answer that is accepted.
  const whole: Cut = { variant, sentBytes: answer.length, end: "close" };
  const [control] = await observe(variant.kind, [whole]);
  if (canBeAccepted(variant)) {
    const expected = variant.status === undefined ? "completed" : "refused";
    assert.is(control?.result.kind, expected, describeCut(whole));
    if (expected === "refused") return;
    assert.is(control?.body, BODIES[variant.kind], describeCut(whole));
  } else assert.is.not(control?.result.kind, "completed", describeCut(whole));
}

const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
const CLOSING_INTERIM = "HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n";

/** Returns whether undici accepts the whole answer. */
function canBeAccepted({ interim, lineEnd }: Variant): boolean {
  return interim !== CONTINUE && interim !== CLOSING_INTERIM &&
    lineEnd !== "\n";
}

for (const kind of KINDS) {
  for (const framing of FRAMINGS) {
    test(`a head cut at any offset is no answer: ${kind}, framing ${framing}`, async () => {
      await checkCuts({ kind, framing });
    });
  }
  test(`a head cut at any offset on a kept connection is no answer: ${kind}`, async () => {
    await checkCuts({ kind, framing: "length", isKept: true });
  });
}

for (const kind of ["service", "stream"] as const) {
  for (const framing of ["length", "close"] as const) {
    test(`a head of HTTP/1.0 cut at any offset is no answer: ${kind}, framing ${framing}`, async () => {
      await checkCuts({ kind, framing, httpVersion: "1.0" });
    });
    test(`a head with bare line feeds cut at any offset is no answer: ${kind}, framing ${framing}`, async () => {
      await checkCuts({ kind, framing, lineEnd: "\n" });
    });
  }
}

for (
  const interim of [
    CONTINUE,
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n\r\n",
    CLOSING_INTERIM,
  ]
) {
  test(
    `a head cut at any offset is no answer: after ${JSON.stringify(interim)}`,
    async () => {
      await checkCuts({ kind: "service", framing: "length", interim });
    },
  );
}

for (const framing of FRAMINGS) {
  test(`a head cut at any offset does not resume a stream: framing ${framing}`, async () => {
    await checkCuts({ kind: "stream", framing, isRest: true });
  });
}

test("a head of a refusal cut at any offset is no refusal", async () => {
  await checkCuts({
    kind: "service",
    framing: "length",
    status: "503 Service Unavailable",
  });
});

test.run();
