/**
 * Broken answers of upstreams: heads with a broken name or no status, and answers
 * without a length that are reset while the request is still being written. None
 * of them begins or completes an answer to the caller.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptResult } from "../../src/core/outcomes.ts";
import { PoolKind } from "../../src/core/structures.ts";
import { startRawServer } from "../raw_server.ts";
import { runTasks } from "../concurrent_tasks.ts";
import { createDispatch, createUpstreamTask } from "./upstream_task_fixture.ts";

const MODEL = "briefing@v1";
const FIRST_EVENT = `data: {"model":"${MODEL}"}\n\n`;
const BODIES = {
  service: "0123456789abcdef",
  engine: JSON.stringify({ model: MODEL, text: "the whole answer" }),
  stream: `${FIRST_EVENT}data: [DONE]\n\n`,
} as const;
type Kind = keyof typeof BODIES;
const KINDS = Object.keys(BODIES) as Kind[];
/** More than the buffers of a connection hold: its end waits to be written. */
const UPLOAD = "x".repeat(8_000_000);
const UPLOADS = 20;
const UPLOAD_CONCURRENCY = 2;
/** Time in which a part of an answer is read before its reset. */
const RESET_DELAY_MS = 20;

interface Outcome {
  result: AttemptResult;
  /** What the caller would receive; undefined if the answer has not begun. */
  body: string | undefined;
}

interface Call {
  kind: Kind;
  /** Called once on a connection, when the head of the request has arrived. */
  answer: (socket: Socket, attemptId: string) => void;
  isIdempotent?: boolean;
  prompt?: string;
}

let lastAttempt = 0;

async function run(
  { kind, answer, isIdempotent = false, prompt }: Call,
): Promise<Outcome> {
  const server = await startRawServer((socket, bytes) => {
    const text = Buffer.from(bytes).toString("latin1");
    const attemptId = /x-request-id: (\S+)/i.exec(text)?.[1];
    if (attemptId !== undefined) {
      // The rest of an upload is not read.
      socket.pause();
      answer(socket, attemptId);
      return;
    }
    // Reads of the state, resumptions and cancellations.
    socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
  });
  const isService = kind === "service";
  const { bus, task, addExchange } = createUpstreamTask(
    isService ? "/services/orders" : "/v1/completions",
    prompt,
  );
  let body: string | undefined;
  addExchange("request-1", {
    begin: () => body = "",
    write: (chunk) => {
      body += Buffer.from(chunk).toString("latin1");
      return true;
    },
    waitUntilDrained: () => Promise.resolve(),
  });
  const ended = new Promise<AttemptResult>((resolve) =>
    bus.on("event", (event) => {
      if (event.kind === "attemptEnded") resolve(event.result);
    })
  );
  void bus.emit(
    "dispatch",
    createDispatch({
      // Connections are told apart by the attempt that they carry.
      attemptId: `attempt-${lastAttempt += 1}`,
      upstreamKind: isService ? PoolKind.Service : PoolKind.Engine,
      address: server.address,
      model: isService ? "orders" : MODEL,
    }, { name: "orders", idempotent: isIdempotent }),
  );
  const result = await ended;
  await task.stop();
  server.close();
  return { result, body };
}

type Framing = "length" | "chunked" | "close";
const FRAMINGS: Framing[] = ["length", "chunked", "close"];

/** Returns an answer with lines before and behind its own fields. */
function formatAnswer(
  kind: Kind,
  attemptId: string,
  {
    framing,
    coding = "chunked",
    status = "200 OK",
    first = "",
    last = "",
    trailers = "",
  }: {
    framing: Framing;
    /** Name of the coding of an answer in chunks. */
    coding?: string;
    status?: string;
    first?: string;
    last?: string;
    trailers?: string;
  },
): string {
  const body = BODIES[kind];
  const contentType = kind === "stream"
    ? "text/event-stream"
    : "application/json";
  const framingLine = {
    length: `content-length: ${body.length}`,
    chunked: `transfer-encoding: ${coding}`,
    close: "connection: close",
  }[framing];
  const payload = framing === "chunked"
    ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n${trailers}\r\n`
    : body;
  return `HTTP/1.1 ${status}\r\n${first}x-request-id: ${attemptId}\r\n` +
    `x-served-model: ${MODEL}\r\ncontent-type: ${contentType}\r\n` +
    `${framingLine}\r\n${last}\r\n${payload}`;
}

const BROKEN_LINES = [
  "X Load: 1",
  "X-Load : 1",
  " X-Load: 1",
  "\tX-Load: 1",
  "X\0Load: 1",
  "X\x7fLoad: 1",
  "X\rLoad: 1",
  "X\nLoad: 1",
  " Content-Length: 9",
  "Content-Length : 9",
  "\tTransfer-Encoding: chunked",
].map((line) => `${line}\r\n`);

for (const kind of KINDS) {
  test(`${kind}: a head with a broken name, or without a status, begins an answer`, async () => {
    for (const framing of FRAMINGS) {
      const answers = [
        ...BROKEN_LINES.flatMap((line) => [
          { framing, first: line },
          { framing, last: line },
          { framing, status: `103 Early Hints\r\n${line}\r\nHTTP/1.1 200 OK` },
        ]),
        ...["000", "001", "099"].map((status) => ({ framing, status })),
      ];
      for (const fields of answers) {
        for (const isIdempotent of [true, false]) {
          const { result, body } = await run({
            kind,
            isIdempotent,
            answer: (socket, attemptId) =>
              socket.end(formatAnswer(kind, attemptId, fields), "latin1"),
          });
          const detail = JSON.stringify({ fields, result });
          assert.is(result.kind, "lost", detail);
          assert.is(body, undefined, detail);
        }
      }
    }
  });

  test(`${kind}: an answer in a coding that is not decoded begins an answer`, async () => {
    for (const coding of ["chunked\t", "chunked,", "gzip, chunked", "gzip"]) {
      const { result, body } = await run({
        kind,
        answer: (socket, attemptId) =>
          socket.end(
            formatAnswer(kind, attemptId, { framing: "chunked", coding }),
          ),
      });
      assert.is(result.kind, "lost", JSON.stringify({ coding, result, body }));
      assert.is(body, undefined, coding);
    }
  });

  test(`${kind}: a broken name in trailers changes the answer`, async () => {
    for (const line of BROKEN_LINES) {
      const { result, body } = await run({
        kind,
        answer: (socket, attemptId) =>
          socket.end(
            formatAnswer(kind, attemptId, {
              framing: "chunked",
              trailers: line,
            }),
            "latin1",
          ),
      });
      // The body ends before its trailers, which are dropped.
      if (result.kind === "completed") assert.is(body, BODIES[kind]);
      else assert.is(result.kind, "lost");
    }
  });

  test(`${kind}: a part of an answer, reset during the upload, completes it`, async () => {
    const tasks = Array.from({ length: UPLOADS }, (_, index) => async () => {
      const { result, body } = await run({
        kind,
        prompt: UPLOAD,
        isIdempotent: index % 4 < 2,
        answer: (socket, attemptId) => {
          const whole = formatAnswer(kind, attemptId, { framing: "close" });
          const part = whole.slice(0, -9);
          socket.write(part, () => {
            if (index % 2 === 0) socket.resetAndDestroy();
            else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
          });
        },
      });
      // A part of an engine's answer names no model.
      assert.is.not(result.kind, "completed", JSON.stringify(result));
      if (body !== undefined) assert.is(body, FIRST_EVENT);
    });
    await runTasks(tasks, UPLOAD_CONCURRENCY);
  });
}

test("an answer that is not broken is lost", async () => {
  for (const kind of KINDS) {
    const { result, body } = await run({
      kind,
      answer: (socket, attemptId) =>
        socket.end(formatAnswer(kind, attemptId, { framing: "length" })),
    });
    assert.is(result.kind, "completed");
    assert.is(body, BODIES[kind]);
  }
});

test.run();
