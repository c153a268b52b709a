/**
 * Input that is no request, or not a whole one in time: the client gets an error
 * status only if no earlier request of its connection waits for its response.
 * The client would take the status for that response, and 408 tells it that the
 * request has not run (REFUSED).
 */
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import { handleConnectionErrors } from "../../src/daemon/connection_errors.ts";
import { ConnectionGuard } from "../../src/daemon/connection_guard.ts";
import { ActiveResponses } from "../../src/daemon/response_abort.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { clientLimitsSchema } from "../../src/settings/client_limits.ts";
import { listStatuses } from "../raw_caller.ts";

const HEADERS_TIMEOUT_MS = 150;
const REQUEST_TIMEOUT_MS = 200;
const CHECK_INTERVAL_MS = 40;
/** Time in which late input is found and loopback traffic settles. */
const SETTLE_MS = 400;
const MAX_HEAD_BYTES = 2_048;

const FAULTS: Record<string, { input: string; status: number }> = {
  "a late head": { input: "POST /late HTTP/1.1\r\nHost: a\r\n", status: 408 },
  "a late body": {
    input: "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1234",
    status: 408,
  },
  "no request": { input: "\u0000\u0001\r\n\r\n", status: 400 },
  "too large a head": {
    input: `GET /x HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(8_000)}\r\n\r\n`,
    status: 431,
  },
};

interface Bench {
  server: Server;
  /** Responses to requests for `/held`, which the test ends. */
  held: ServerResponse[];
  /** Paths of the requests that were handled. */
  handled: string[];
  errors: string[];
}

interface Client {
  socket: Socket;
  getText: () => string;
  isClosed: () => boolean;
}

let close: () => void = () => {};

test.after.each(() => close());

async function startBench(isGuarded: boolean): Promise<Bench> {
  const held: ServerResponse[] = [];
  const handled: string[] = [];
  const errors: string[] = [];
  const responses = new ActiveResponses();
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    maxHeaderSize: MAX_HEAD_BYTES,
  }, (request, response) => {
    responses.add(response);
    request.resume();
    request.once("end", () => {
      handled.push(request.url ?? "");
      if (request.url === "/held") held.push(response);
      else response.end("at once");
    });
  });
  const guard = new ConnectionGuard({
    limits: clientLimitsSchema.parse({}),
    turns: DEFAULT_TURN_LIMITS,
    countCut: () => {},
    logCut: () => {},
  });
  if (isGuarded) guard.attach(server, "callers", 10);
  handleConnectionErrors(server, (socket) => responses.list(socket), {
    count: (_name, code) => errors.push(code),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  close = () => {
    guard.stop();
    server.close();
    server.closeAllConnections();
  };
  return { server, held, handled, errors };
}

async function connectClient({ server }: Bench): Promise<Client> {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  let text = "";
  let isClosed = false;
  socket.on("error", () => {});
  socket.on("data", (chunk) => text += String(chunk));
  socket.on("end", () => isClosed = true);
  await once(socket, "connect");
  return { socket, getText: () => text, isClosed: () => isClosed };
}

function formatRequest(path: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok`;
}

async function waitForHeld(bench: Bench): Promise<ServerResponse> {
  while (bench.held.length === 0) await waitMs(5);
  const [response] = bench.held;
  if (!response) throw new Error("expected a held response, actual none");
  return response;
}

for (const isGuarded of [false, true]) {
  const server = isGuarded ? "a guarded server" : "a plain server";
  for (const [fault, { input, status }] of Object.entries(FAULTS)) {
    for (const answered of [0, 1]) {
      // A booking that ran got the 408 of the late head behind it.
      test(`REFUSED: ${server}: ${fault} behind a request that runs, after ${answered} answered, is not answered in its place`, async () => {
        const bench = await startBench(isGuarded);
        const { socket, getText, isClosed } = await connectClient(bench);
        socket.write("GET /quick HTTP/1.1\r\nHost: a\r\n\r\n".repeat(answered));
        socket.write(formatRequest("/held"));
        const response = await waitForHeld(bench);
        socket.write(input);
        await waitMs(SETTLE_MS);
        const before = Array.from({ length: answered }, () => 200);
        assert.equal(listStatuses(getText()), before);
        assert.not(isClosed());
        response.end("held");
        await waitMs(SETTLE_MS);
        assert.equal(listStatuses(getText()), [...before, 200]);
        assert.match(getText(), /connection: close\r\n[^]*held$/i);
        assert.ok(isClosed());
        assert.equal(bench.handled.at(-1), "/held");
        assert.is(bench.errors.length, 1);
      });
    }

    test(`${server}: ${fault} behind a stream that has begun lets it end`, async () => {
      const bench = await startBench(isGuarded);
      const { socket, getText, isClosed } = await connectClient(bench);
      socket.write(formatRequest("/held"));
      const response = await waitForHeld(bench);
      response.write("event 1");
      socket.write(input);
      await waitMs(SETTLE_MS);
      response.end("event 2");
      await waitMs(SETTLE_MS);
      assert.equal(listStatuses(getText()), [200]);
      assert.match(getText(), "event 2");
      assert.match(getText(), /\r\n0\r\n\r\n$/);
      assert.ok(isClosed());
    });

    test(`${server}: ${fault} behind two requests that run lets both be answered in their order`, async () => {
      const bench = await startBench(isGuarded);
      const { socket, getText, isClosed } = await connectClient(bench);
      socket.write(formatRequest("/held").repeat(2));
      while (bench.held.length < 2) await waitMs(5);
      socket.write(input);
      await waitMs(SETTLE_MS);
      bench.held[1]?.end("second");
      bench.held[0]?.end("first");
      await waitMs(SETTLE_MS);
      assert.equal(listStatuses(getText()), [200, 200]);
      assert.match(getText(), /first[^]*second$/);
      assert.ok(isClosed());
    });

    test(`${server}: what follows ${fault} behind a request that runs is not handled`, async () => {
      const bench = await startBench(isGuarded);
      const { socket, getText } = await connectClient(bench);
      socket.write(formatRequest("/held"));
      const response = await waitForHeld(bench);
      socket.write(input);
      await waitMs(SETTLE_MS);
      socket.write(`56789\r\n\r\n${formatRequest("/late")}`);
      await waitMs(SETTLE_MS);
      response.end("held");
      await waitMs(SETTLE_MS);
      assert.equal(bench.handled, ["/held"]);
      assert.equal(listStatuses(getText()), [200]);
    });

    test(`${server}: a client that leaves after ${fault} behind a request that runs is noticed`, async () => {
      const bench = await startBench(isGuarded);
      const { socket } = await connectClient(bench);
      socket.write(formatRequest("/held"));
      const response = await waitForHeld(bench);
      socket.write(input);
      await waitMs(SETTLE_MS);
      socket.destroy();
      await waitMs(SETTLE_MS);
      assert.ok(response.req.socket.destroyed);
    });

    for (const answered of [0, 1]) {
      test(`${server}: ${fault} on a connection without a request that runs, after ${answered} answered, gets ${status}`, async () => {
        const bench = await startBench(isGuarded);
        const { socket, getText, isClosed } = await connectClient(bench);
        for (let count = 0; count < answered; count += 1) {
          socket.write(formatRequest("/quick"));
          await waitMs(CHECK_INTERVAL_MS);
        }
        socket.write(input);
        await waitMs(SETTLE_MS);
        const before = Array.from({ length: answered }, () => 200);
        assert.equal(listStatuses(getText()), [...before, status]);
        assert.ok(isClosed());
        assert.equal(bench.errors.length, 1);
      });
    }
  }
}

test.run();
