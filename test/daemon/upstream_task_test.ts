/** A cancelled attempt counts as ended only if the upstream confirms it: after a 404, the run may still start. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { DispatchEffect } from "../../src/core/effects.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import { createDispatch, createUpstreamTask } from "./upstream_task_fixture.ts";

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

function createEngineDispatch(server: Server): DispatchEffect {
  const { port } = server.address() as AddressInfo;
  return createDispatch({
    upstreamKind: "engine",
    address: `127.0.0.1:${port}`,
    model: "briefing@v1",
  }, { name: "briefing" });
}

for (
  const { status, result } of [
    { status: 200, result: "cancelled" },
    { status: 404, result: "lost" },
  ]
) {
  test(`a cancellation that gets ${status} before any response of the run ends the attempt as ${result}`, async () => {
    const server = await startUnresponsiveEngine(status);
    const { bus, task } = createUpstreamTask("/v1/completions");
    const ended = new Promise<CoreEvent>((resolve) =>
      bus.on("event", (event) => resolve(event))
    );
    const arrived = new Promise((resolve) => server.once("request", resolve));
    void bus.emit("dispatch", createEngineDispatch(server));
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
