/** The operators' port, the StatsD metrics and the graceful stop of a daemon. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ContractBench } from "../contracts/contract_bench.ts";

const STOP_TIMEOUT_MS = 200;
/** Time that a stop may take beyond its timeout, for last messages to peers and for closing sockets. */
const STOP_ALLOWANCE_MS = 3_000;

async function withBench(
  bench: ContractBench,
  use: () => Promise<void>,
): Promise<void> {
  try {
    await bench.start();
    await use();
  } finally {
    await bench.stop();
  }
}

async function putLevel(
  bench: ContractBench,
  body: string,
): Promise<{ status: number; answer: unknown }> {
  const response = await fetch(`http://${bench.operators}/log-level`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body,
  });
  return { status: response.status, answer: await response.json() };
}

test("the log level changes at run time, and invalid requests change nothing", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    const set = await putLevel(bench, '{"level":"warn"}');
    assert.equal(set, { status: 200, answer: { level: "warn" } });
    for (const body of ['{"level":"loud"}', "{", "[]"]) {
      assert.is((await putLevel(bench, body)).status, 400, body);
    }
    const shown = await fetch(`http://${bench.operators}/log-level`);
    assert.equal(await shown.json(), { level: "warn" });
    await putLevel(bench, '{"level":"silent"}');
  });
});

test("simulated partitions are refused unless the settings allow them", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    const response = await fetch(`http://${bench.operators}/cut`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: '{"platform":true}',
    });
    assert.is(response.status, 403);
  });
});

test("unknown paths and routes of the operators' port get JSON errors", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    for (const path of ["/other", "/explain/other", "/explain/%E0%A4%A"]) {
      const response = await fetch(`http://${bench.operators}${path}`);
      assert.ok(response.status >= 400, path);
      const { error } = await response.json() as { error: string };
      assert.type(error, "string");
    }
  });
});

test("gauges and histograms cover slots, leases, batch fill, first token and load stall", async () => {
  const bench = new ContractBench();
  await withBench(bench, async () => {
    await bench.call();
    await bench.waitUntil("the gauges are updated", async () => {
      return (await bench.getStatus()).metrics.gauges["slots_resident"] === 1;
    });
    const { gauges, histograms } = (await bench.getStatus()).metrics;
    for (const name of ["requests", "leases", "queue", "batch_fill"]) {
      assert.type(gauges[name], "number", name);
    }
    assert.is(histograms["first_token"]?.count, 1);
    assert.is(histograms["load_stall"]?.count, 1);
  });
});

test("counters reach a StatsD server with prefix, host and reason", async () => {
  const server = createSocket("udp4");
  server.bind(0, "127.0.0.1");
  await once(server, "listening");
  const lines: string[] = [];
  server.on("message", (bytes) => lines.push(...String(bytes).split("\n")));
  const address = `127.0.0.1:${server.address().port}`;
  const bench = new ContractBench({
    settings: { metrics: { address, prefix: "site." } },
  });
  await withBench(bench, async () => {
    await bench.call({ token: "other" });
    await bench.waitUntil(
      "the counter arrives",
      () =>
        lines.some((line) =>
          line.startsWith("site.refused:1|c|#") &&
          line.includes("host:entry-1") &&
          line.includes("reason:unauthenticated")
        ),
    );
  });
  server.close();
});

test("a stop waits for a run that does not end no longer than its timeout", async () => {
  const bench = new ContractBench({
    route: { maxRunMs: 60_000 },
    settings: { stopTimeoutMs: STOP_TIMEOUT_MS },
  });
  await bench.start();
  bench.engines[0]?.faults.nextRuns.push({ kind: "stall" });
  const call = bench.call().catch(() => "aborted");
  await bench.waitUntil(
    "the run starts",
    () => bench.engines[0]?.history.length === 1,
  );
  const startedAt = performance.now();
  await bench.stop();
  const stoppedAfterMs = performance.now() - startedAt;
  assert.is(await call, "aborted");
  assert.ok(stoppedAfterMs >= STOP_TIMEOUT_MS);
  assert.ok(stoppedAfterMs < STOP_TIMEOUT_MS + STOP_ALLOWANCE_MS);
});

test.run();
