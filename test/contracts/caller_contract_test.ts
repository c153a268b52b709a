/** Contract with callers: one row per fault, with the bytes of the response and the counters. */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ContractBench, subtractCounters, TOKENS } from "./contract_bench.ts";

const MAX_BODY_BYTES = 131_072;
/** Nesting of a body that is within the size limit. */
const NESTING_DEPTH = 60_000;
const MAX_HEADER_BYTES = 8_192;
const STALL_TIMEOUT_MS = 300;

const bench = new ContractBench({
  settings: {
    callers: {
      maxBodyBytes: MAX_BODY_BYTES,
      maxHeaderBytes: MAX_HEADER_BYTES,
      headersTimeoutMs: 300,
      bodyTimeoutMs: 600,
      stallTimeoutMs: STALL_TIMEOUT_MS,
      maxConnections: 40,
    },
  },
});

const callers = suite("callers");

callers.before(async () => {
  await bench.start();
});

callers.after(async () => {
  await bench.stop();
});

interface RawRequest {
  path?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
}

interface RefusalRow {
  fault: string;
  request: RawRequest;
  status: number;
  reason?: string;
  hasRetryAfter?: boolean;
  counter: string;
}

const COMPLETION_BODY = JSON.stringify({ model: "briefing" });

const REFUSAL_ROWS: RefusalRow[] = [
  {
    fault: "no token",
    request: { headers: { authorization: "" } },
    status: 401,
    reason: "unauthenticated",
    counter: "refused.unauthenticated",
  },
  {
    fault: "unknown token",
    request: { headers: { authorization: "Bearer other" } },
    status: 401,
    reason: "unauthenticated",
    counter: "refused.unauthenticated",
  },
  {
    fault: "unknown token with a malformed body",
    request: { headers: { authorization: "Bearer other" }, body: "{" },
    status: 401,
    reason: "unauthenticated",
    counter: "refused.unauthenticated",
  },
  {
    fault: "unknown path",
    request: { path: "/v1/other" },
    status: 404,
    reason: "unknownRoute",
    counter: "refused.unknownRoute",
  },
  {
    fault: "unsupported method",
    request: { method: "PUT" },
    status: 404,
    reason: "unknownRoute",
    counter: "refused.unknownRoute",
  },
  {
    fault: "malformed JSON",
    request: { body: '{"model": "briefing"' },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "invalid UTF-8",
    request: { body: Buffer.from([0x7b, 0xff, 0xfe, 0x7d]) },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "an array instead of an object",
    request: { body: "[]" },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "missing model",
    request: { body: "{}" },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "empty body",
    request: { body: "" },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "JSON nested too deeply to be forwarded",
    request: {
      body: `{"model":"briefing","deep":${"[".repeat(NESTING_DEPTH)}${
        "]".repeat(NESTING_DEPTH)
      }}`,
    },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "invalid escape in the path",
    request: { path: "/v1/services/%E0%A4%A" },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "unknown content encoding",
    request: {
      headers: { "content-encoding": "other" },
      body: COMPLETION_BODY,
    },
    status: 400,
    reason: "invalidRequest",
    counter: "refused.invalidRequest",
  },
  {
    fault: "oversized body",
    request: { body: "x".repeat(MAX_BODY_BYTES + 1) },
    status: 413,
    reason: "requestTooLarge",
    counter: "refused.requestTooLarge",
  },
  {
    fault: "oversized headers",
    request: { headers: { "x-large": "x".repeat(MAX_HEADER_BYTES + 1) } },
    status: 431,
    counter: "connection_malformed.HPE_HEADER_OVERFLOW",
  },
  {
    fault: "completion on the route of a plain service",
    request: { body: JSON.stringify({ model: "balance" }) },
    status: 404,
    reason: "unknownRoute",
    counter: "refused.unknownRoute",
  },
  {
    fault: "service call on the route of an engine",
    request: { path: "/v1/services/briefing", body: COMPLETION_BODY },
    status: 404,
    reason: "unknownRoute",
    counter: "refused.unknownRoute",
  },
  {
    fault: "non-idempotent call without a ticket",
    request: { path: "/v1/services/unlock" },
    status: 428,
    reason: "ticketRequired",
    counter: "refused.ticketRequired",
  },
  {
    fault: "malformed ticket",
    request: {
      path: "/v1/services/unlock",
      headers: { "idempotency-key": "my-own-key" },
    },
    status: 422,
    reason: "ticketInvalid",
    counter: "refused.ticketInvalid",
  },
  {
    fault: "forged ticket of an earlier incarnation of this daemon",
    request: {
      path: "/v1/services/unlock",
      headers: {
        "idempotency-key": "entry-1~earlier~1~xxxxxxxxxxxxxxxxxxxxxx",
      },
    },
    status: 410,
    reason: "ticketExpired",
    counter: "refused.ticketExpired",
  },
  {
    fault: "ticket issued by an unreachable daemon",
    request: {
      path: "/v1/services/unlock",
      headers: { "idempotency-key": "entry-9~other~1~xxxxxxxxxxxxxxxxxxxxxx" },
    },
    status: 503,
    reason: "ticketHomeUnreachable",
    hasRetryAfter: true,
    counter: "refused.ticketHomeUnreachable",
  },
];

for (const row of REFUSAL_ROWS) {
  callers(row.fault, async () => {
    const before = await bench.getCounters();
    const answer = await sendRaw(formatRequest(row.request));
    assert.is(answer.status, row.status, answer.text);
    if (row.reason === undefined) assert.is(answer.body, "");
    else assert.is(JSON.parse(answer.body).error.reason, row.reason);
    assert.is(
      /\r\nretry-after:/i.test(answer.text),
      row.hasRetryAfter ?? false,
    );
    const gained = subtractCounters(await bench.getCounters(), before);
    assert.is(gained[row.counter], 1, JSON.stringify(gained));
  });
}

callers(
  "an unknown route and another customer's route get the same response",
  async () => {
    for (const path of ["/v1/chat/completions", "/v1/services/"]) {
      const isService = path.endsWith("/");
      const answers = await Promise.all(
        ["nothing", isService ? "balance" : "briefing"].map((route) =>
          sendRaw(formatRequest({
            path: isService ? `${path}${route}` : path,
            headers: { authorization: `Bearer ${TOKENS.solljus}` },
            body: JSON.stringify({ model: route }),
          }))
        ),
      );
      const [unknown, foreign] = answers.map((answer) =>
        answer.text.replace(/date: .*/i, "")
      );
      assert.is(unknown, foreign);
      assert.match(unknown ?? "", "unknownRoute");
    }
  },
);

callers(
  "unparsable requests get status 400 and their connection is closed",
  async () => {
    for (
      const bytes of [
        "\u0000\u0001\r\n\r\n",
        "GET\r\n\r\n",
        "POST / HTTP/9\r\n\r\n",
      ]
    ) {
      const answer = await sendRaw(bytes);
      assert.is(answer.status, 400, answer.text);
    }
  },
);

callers("a request that never completes times out", async () => {
  const head =
    formatRequest({ body: COMPLETION_BODY }).toString().split("\r\n\r\n")[0];
  assert.is((await sendRaw(`${head}\r\nx-more`)).status, 408);
  assert.is((await sendRaw(`${head}\r\n\r\n{"mod`)).status, 408);
});

callers(
  "a half-closed socket is closed without a response, as its caller is gone",
  async () => {
    const before = await bench.getCounters();
    const answer = await sendRaw(
      formatRequest({ body: COMPLETION_BODY }),
      true,
    );
    assert.is(answer.text, "");
    await bench.waitForCounter("refused.callerGone", before);
  },
);

callers(
  "a request that is cut short within its body is not served",
  async () => {
    const bytes = formatRequest({ body: COMPLETION_BODY });
    const answer = await sendRaw(bytes.subarray(0, bytes.length - 3), true);
    assert.ok([0, 400].includes(answer.status), answer.text);
    assert.is((await bench.call()).status, 200);
  },
);

callers(
  "connections beyond maxConnections are dropped and counted",
  async () => {
    const before = await bench.getCounters();
    const sockets = Array.from({ length: 60 }, () => openSocket());
    await bench.waitForCounter("connection_dropped", before);
    for (const socket of sockets) socket.destroy();
    await bench.waitUntil("callers are served again", async () => {
      const answer = await bench.call().catch(() => undefined);
      return answer?.status === 200;
    });
  },
);

callers("garbage after a request does not corrupt its response", async () => {
  const garbage = Buffer.from("\u0000 garbage\r\n\r\n");
  const request = formatRequest({
    body: COMPLETION_BODY,
    headers: { connection: "keep-alive" },
  });
  const answer = await sendRaw(Buffer.concat([request, garbage]));
  assert.is(answer.text.split("HTTP/1.1").length <= 2, true, answer.text);
});

callers("a slow caller delays only its own stream", async () => {
  const engine = bench.engines[0];
  if (!engine) throw new Error("Expected an engine, found none");
  const before = await bench.getCounters();
  const earlierRuns = engine.history.length;
  const { tokens, tokenIntervalMs } = engine.options;
  Object.assign(engine.options, { tokens: 100_000, tokenIntervalMs: 0 });
  engine.tokenPadding = "x".repeat(65_536);
  const socket = openSocket();
  socket.pause();
  socket.write(formatRequest({
    body: JSON.stringify({ model: "briefing", stream: true }),
  }));
  await bench.waitUntil(
    "the stream runs",
    // A run of an earlier test may not have ended yet.
    () => engine.history.slice(earlierRuns).length > 0,
  );
  Object.assign(engine.options, { tokens, tokenIntervalMs });
  engine.tokenPadding = "";
  assert.is((await bench.call({ stream: true })).isWhole, true);
  await bench.waitForCounter("refused.callerGone", before);
  await bench.waitUntil(
    "the run is cancelled",
    () => engine.history.every((run) => run.ended !== "running"),
  );
  socket.destroy();
});

callers("the run of a caller that has disconnected is cancelled", async () => {
  const engine = bench.engines[0];
  engine?.faults.nextRuns.push({ kind: "stall" });
  const before = await bench.getCounters();
  const abort = new AbortController();
  const gone = bench.call({ signal: abort.signal }).catch(() => "gone");
  await bench.waitUntil(
    "the run starts",
    () => engine?.history.at(-1)?.ended === "running",
  );
  abort.abort();
  assert.is(await gone, "gone");
  await bench.waitForCounter("refused.callerGone", before);
  await bench.waitUntil(
    "the run is cancelled",
    () => engine?.history.at(-1)?.ended === "cancelled",
  );
});

callers(
  "a run with a ticket continues after its caller disconnects, and its response is replayed",
  async () => {
    bench.service.faults.runTimeMs = 100;
    const call = { path: "/v1/services/unlock", body: { lantern: 7 } };
    const ticket = (await bench.call(call)).refusal?.ticket ?? "";
    const ran = bench.service.ran.length;
    const abort = new AbortController();
    const gone = bench.call({ ...call, ticket, signal: abort.signal })
      .catch(() => "gone");
    await bench.waitUntil(
      "the call runs",
      () => bench.service.ran.length > ran,
    );
    abort.abort();
    assert.is(await gone, "gone");
    const meanwhile = await bench.call({ ...call, ticket });
    assert.is(meanwhile.refusal?.reason, "ticketInProgress");
    assert.is(meanwhile.refusal?.outcome, "mayHaveRun");
    assert.ok(meanwhile.headers.get("retry-after"));
    await bench.waitUntil("the answer is replayed", async () => {
      const again = await bench.call({ ...call, ticket });
      return again.headers.get("idempotent-replayed") === "true";
    });
    assert.is(bench.service.ran.length, ran + 1);
    bench.service.faults.runTimeMs = 20;
  },
);

interface TicketRow {
  fault: string;
  change: { token?: string; body?: unknown; path?: string };
  status: number;
  reason?: string;
}

const TICKET_ROWS: TicketRow[] = [
  { fault: "spent ticket replays the response", change: {}, status: 200 },
  {
    fault: "spent ticket with another body",
    change: { body: { lantern: 9 } },
    status: 422,
    reason: "ticketMismatch",
  },
  {
    fault: "spent ticket on another route",
    change: { path: "/v1/chat/completions", body: { model: "order" } },
    status: 422,
    reason: "ticketMismatch",
  },
  {
    fault: "another customer's ticket",
    change: {
      token: TOKENS.solljus,
      path: "/v1/chat/completions",
      body: { model: "letters-order" },
    },
    status: 422,
    reason: "ticketInvalid",
  },
];

for (const row of TICKET_ROWS) {
  callers(row.fault, async () => {
    const call = { path: "/v1/services/unlock", body: { lantern: 8 } };
    const ran = bench.service.ran.length;
    const ticket = (await bench.call(call)).refusal?.ticket ?? "";
    const first = await bench.call({ ...call, ticket });
    assert.is(first.status, 200, first.text);
    const again = await bench.call({ ...call, ...row.change, ticket });
    assert.is(again.status, row.status, again.text);
    assert.is(again.refusal?.reason, row.reason);
    if (row.status === 200) assert.is(again.text, first.text);
    assert.is(bench.service.ran.length, ran + 1);
  });
}

function formatRequest(request: RawRequest): Buffer {
  const body = Buffer.from(request.body ?? COMPLETION_BODY);
  const headers: Record<string, string> = {
    host: "test",
    connection: "close",
    authorization: `Bearer ${TOKENS.derwent}`,
    "content-length": String(body.length),
    ...request.headers,
  };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  const { method = "POST", path = "/v1/chat/completions" } = request;
  const head = `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
  return Buffer.concat([Buffer.from(head), body]);
}

function openSocket(): Socket {
  const socket = connect({
    port: bench.callersPort,
    host: "127.0.0.1",
    allowHalfOpen: true,
  });
  return socket.on("error", () => {});
}

/** Sends bytes and reads until the daemon closes the connection; the status is 0 if there was no response. */
async function sendRaw(
  bytes: Buffer | string,
  isHalfClosed = false,
): Promise<{ status: number; body: string; text: string }> {
  const socket = openSocket();
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  socket.write(bytes);
  if (isHalfClosed) socket.end();
  await new Promise((resolve) => {
    socket.once("end", resolve);
    socket.once("close", resolve);
  });
  socket.destroy();
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
  return { status, text, body: text.split("\r\n\r\n")[1] ?? "" };
}

callers.run();
