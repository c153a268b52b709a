/**
 * Whether an upstream has crashed after a connection to it broke: resets and
 * truncated answers of a living upstream are no crashes.
 */
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PublishedUpstream } from "../../src/core/view/published_view.ts";
import { CrashProbe } from "../../src/gateway/crash_probe.ts";
import type { EngineReport } from "../../src/gateway/ports.ts";

const BORN_AT_UNIX_MS = 1_000;
/** Half of the time after which a call for a report is given up. */
const MAX_PROBE_MS = 300;

let server: Server;
let probedConnections = 0;

test.before(async () => {
  server = createServer((socket) => {
    probedConnections += 1;
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
});
test.after(() => {
  server.close();
});
test.before.each(() => {
  probedConnections = 0;
});

function createProbe(
  readBornAt: () => number | Promise<number>,
  isEngine = true,
): CrashProbe {
  return new CrashProbe({
    control: {
      readReport: async () =>
        ({ bornAtUnixMs: await readBornAt() }) as EngineReport,
    },
    isEngine: () => isEngine,
    log: { debug: () => {} },
  });
}

function describeUpstream(port: number): PublishedUpstream {
  return {
    id: "i-1",
    address: `127.0.0.1:${port}`,
    bornAtUnixMs: BORN_AT_UNIX_MS,
  } as PublishedUpstream;
}

function getOpenPort(): number {
  return (server.address() as AddressInfo).port;
}

test("an engine that accepts connections and reports the same start has not crashed", async () => {
  const probe = createProbe(() => BORN_AT_UNIX_MS);
  assert.is(await probe.hasCrashed(describeUpstream(getOpenPort())), false);
});

test("an engine that reports another start has crashed", async () => {
  const probe = createProbe(() => BORN_AT_UNIX_MS + 1);
  assert.is(await probe.hasCrashed(describeUpstream(getOpenPort())), true);
});

test("an upstream that refuses connections has crashed", async () => {
  const closed = createServer();
  await new Promise<void>((resolve) =>
    closed.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = closed.address() as AddressInfo;
  await new Promise((resolve) => closed.close(resolve));
  const probe = createProbe(() => BORN_AT_UNIX_MS, false);
  assert.is(await probe.hasCrashed(describeUpstream(port)), true);
});

test("an engine whose report can't be read is not taken for crashed", async () => {
  const probe = createProbe(() => {
    throw new Error("expected a report, got none");
  });
  assert.is(await probe.hasCrashed(describeUpstream(getOpenPort())), false);
});

test("an engine that accepts connections and never reports holds no caller", async () => {
  const probe = createProbe(() => new Promise<number>(() => {}));
  const startedAt = performance.now();
  assert.is(await probe.hasCrashed(describeUpstream(getOpenPort())), false);
  const elapsedMs = performance.now() - startedAt;
  assert.ok(elapsedMs < MAX_PROBE_MS, `${elapsedMs} ms`);
});

test("a plain service that accepts connections has not crashed", async () => {
  const probe = createProbe(() => BORN_AT_UNIX_MS + 1, false);
  assert.is(await probe.hasCrashed(describeUpstream(getOpenPort())), false);
});

test("an upstream that was alive at one break is probed again at the next", async () => {
  let bornAtUnixMs = BORN_AT_UNIX_MS;
  const probe = createProbe(() => bornAtUnixMs);
  const upstream = describeUpstream(getOpenPort());
  assert.is(await probe.hasCrashed(upstream), false);
  bornAtUnixMs += 1;
  assert.is(await probe.hasCrashed(upstream), true);
});

test("requests that broke together share one probe", async () => {
  const probe = createProbe(() => BORN_AT_UNIX_MS);
  const upstream = describeUpstream(getOpenPort());
  await Promise.all(
    Array.from({ length: 20 }, () => probe.hasCrashed(upstream)),
  );
  assert.is(probedConnections, 1);
});

test.run();
