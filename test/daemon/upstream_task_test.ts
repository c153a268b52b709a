/** A cancelled attempt counts as ended only if the upstream confirms it: after a 404, the run may still start. */
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { DispatchEffect } from "../../src/core/effects.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import type { RouteStructure } from "../../src/core/structures.ts";
import { createBus } from "../../src/daemon/bus.ts";
import { ExchangeRegistry } from "../../src/daemon/exchange.ts";
import { createLogger } from "../../src/daemon/logger.ts";
import { UpstreamTask } from "../../src/daemon/upstream_task.ts";

const ROUTE = { name: "briefing", priority: "standard" } as RouteStructure;

/** Starts an engine that never responds to a run, and to a cancellation with the given status. */
function startUnresponsiveEngine(cancelStatus: number): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.method === "DELETE") response.writeHead(cancelStatus).end("{}");
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function createDispatch(server: Server): DispatchEffect {
  const { port } = server.address() as AddressInfo;
  return {
    kind: "dispatch",
    attemptId: "attempt-1",
    requestId: "request-1",
    upstreamId: "engine-1",
    upstreamKind: "engine",
    upstreamIncarnation: "e1",
    address: `127.0.0.1:${port}`,
    model: "briefing@v1",
    route: ROUTE,
    tablesRevision: 1,
    timeoutMs: 10_000,
    dispatchUntil: performance.now() + 10_000,
  };
}

for (
  const { status, result } of [
    { status: 200, result: "cancelled" },
    { status: 404, result: "lost" },
  ]
) {
  test(`a cancellation that gets ${status} before any response of the run ends the attempt as ${result}`, async () => {
    const server = await startUnresponsiveEngine(status);
    const bus = createBus();
    const exchanges = new ExchangeRegistry();
    exchanges.add({
      requestId: "request-1",
      path: "/v1/completions",
      rawBody: Buffer.from("{}"),
      jsonBody: {},
      contentType: "application/json",
      isStreamed: false,
      ticket: undefined,
      sink: {
        begin: () => {},
        write: () => true,
        waitUntilDrained: () => Promise.resolve(),
      },
    });
    const task = new UpstreamTask({
      bus,
      logger: createLogger("test", "error"),
      exchanges,
      maxAnswerBytes: 1_000,
    });
    const ended = new Promise<CoreEvent>((resolve) =>
      bus.on("event", (event) => resolve(event))
    );
    const arrived = new Promise((resolve) => server.once("request", resolve));
    void bus.emit("dispatch", createDispatch(server));
    await arrived;
    void bus.emit("cancelAttempt", {
      kind: "cancelAttempt",
      attemptId: "attempt-1",
    });
    const event = await ended;
    assert.is(event.kind === "attemptEnded" && event.result.kind, result);
    await task.stop();
    server.closeAllConnections();
    server.close();
  });
}

test.run();
