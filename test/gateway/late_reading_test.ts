/**
 * Callers that leave while the gateway's process stands still leave request and
 * close unread: their requests reached upstreams after it went on (GONE).
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { GatewayProcess } from "./gateway_process.ts";

const CALLERS = 10;
/** Time for which the process stands still. */
const STALL_MS = 1_000;
const SHORT_STALL_MS = 800;
/** Time by which an upstream may go on after its caller's deadline. */
const MAX_EXCESS_MS = 500;
/** Time after which a caller gives up. */
const PATIENCE_MS = 330;
/** Time in which a gateway that goes on sends what it has read. */
const SETTLE_MS = 600;

const harness = new GatewayHarness();
let gateway: GatewayProcess;

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 0, engines: 1, services: 2 });
  gateway = await GatewayProcess.start(harness);
  // The engine's owner claims it and loads the adapter.
  await waitMs(3_200);
  await harness.call("/brief/1");
});
test.after(async () => {
  gateway.stop();
  await harness.stop();
});

async function openSocket(): Promise<Socket> {
  const socket = connect(harness.getCallerPort(), "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Returns a connection on which one request has been answered. */
async function openUsedSocket(): Promise<Socket> {
  const socket = await openSocket();
  socket.write(harness.formatRequest("/safe/kept"));
  await once(socket, "data");
  return socket;
}

const CONNECTIONS = { new: openSocket, kept: openUsedSocket };

for (const path of ["/safe/1", "/unsafe/1", "/resume/1", "/brief/1"]) {
  for (const kind of ["new", "kept"] as const) {
    test(`requests of callers that left while the process stood still reach no upstream: ${path}, ${kind} connections`, async () => {
      const ids = Array.from(
        { length: CALLERS },
        (_, index) => `late-${path}-${kind}-${index}`,
      );
      const kept = kind === "kept"
        ? await Promise.all(ids.map(CONNECTIONS.kept))
        : undefined;
      gateway.signal("SIGSTOP");
      const sockets = kept ?? await Promise.all(ids.map(CONNECTIONS.new));
      ids.forEach((id, index) =>
        sockets[index]?.write(harness.formatRequest(path, { id }))
      );
      await waitMs(PATIENCE_MS);
      for (const socket of sockets) socket.end();
      await waitMs(STALL_MS - PATIENCE_MS);
      gateway.signal("SIGCONT");
      await waitMs(SETTLE_MS);
      assert.equal(ids.filter((id) => harness.countRuns(id) > 0), []);
    });
  }
}

test("a request whose attempt is lost and whose caller leaves while the process stands still is sent again", async () => {
  for (const service of harness.services) service.behaviours = ["hang"];
  const socket = await openUsedSocket();
  socket.write(harness.formatRequest("/safe/1", { id: "lost" }));
  await harness.waitFor(() => harness.countRuns("lost") === 1);
  gateway.signal("SIGSTOP");
  for (const service of harness.services) {
    service.behaviours = [];
    service.crash();
  }
  await waitMs(PATIENCE_MS);
  socket.end();
  await waitMs(STALL_MS - PATIENCE_MS);
  gateway.signal("SIGCONT");
  await waitMs(SETTLE_MS);
  assert.is(harness.countRuns("lost"), 1);
});

test("upstreams are handed the time for which a request lay unread, as if it were left", async () => {
  const deadlineMs = 2_500;
  const socket = await openUsedSocket();
  gateway.signal("SIGSTOP");
  socket.write(harness.formatRequest("/safe/1", { id: "unread" }));
  await waitMs(SHORT_STALL_MS);
  gateway.signal("SIGCONT");
  await harness.waitFor(() => harness.countRuns("unread") === 1);
  socket.end();
  const [run] = harness.listRuns("unread");
  const handedMs = Number(run?.headers["x-deadline-ms"]);
  assert.ok(
    handedMs <= deadlineMs - SHORT_STALL_MS + MAX_EXCESS_MS,
    `handed ${handedMs} ms`,
  );
});

test("requests of callers that still wait are served after the process stood still", async () => {
  gateway.signal("SIGSTOP");
  const answers = ["/safe/1", "/unsafe/1", "/brief/1"].flatMap((path) =>
    Array.from({ length: 4 }, () => harness.call(path))
  );
  await waitMs(STALL_MS);
  gateway.signal("SIGCONT");
  for (const { status, isComplete } of await Promise.all(answers)) {
    assert.is(status, 200);
    assert.ok(isComplete);
  }
});

test.run();
