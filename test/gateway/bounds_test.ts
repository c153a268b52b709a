/**
 * Limits on what the gateway sends to replicas under each fault: adapter
 * versions (VERSION), the time and the retries given to a request (BUDGET), and
 * work for callers that have disconnected (GONE).
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  ReceivedRequest,
  ReplicaBehaviour,
} from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/**
 * Time within which a gateway knows a published version, far below the seconds
 * that the rules allow.
 */
const PROPAGATION_MS = 700;
/** Deadline that the harness's callers send. */
const CALLER_DEADLINE_MS = 2_500;
/**
 * Time within which a replica's work for a disconnected caller must have been
 * cancelled.
 */
const CANCEL_MS = 500;
/**
 * Number of replicas that one request may crash before it is quarantined; the
 * rule allows three more.
 */
const MAX_CRASHES = 3;

const harness = new GatewayHarness();

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 2, engines: 2, services: 4 });
});
test.after(() => harness.stop());
test.after.each(() => setBehaviours([]));

/**
 * Sets a list of behaviours that all replicas share: each request takes the
 * next one, whichever replica gets it. When the list is empty, replicas work.
 */
function setBehaviours(behaviours: ReplicaBehaviour[]): void {
  for (const replica of [...harness.services, ...harness.engines]) {
    replica.behaviours = behaviours;
  }
}

function readDeadlineMs(seen: ReceivedRequest | undefined): number {
  return Number(seen?.headers["x-deadline-ms"]);
}

interface VersionRow {
  fault: string;
  gateway: number;
  version: number;
  prepare: () => void;
}

const VERSION_ROWS: VersionRow[] = [
  { fault: "none", gateway: 0, version: 2, prepare: () => {} },
  {
    fault: "the store rejects watches",
    gateway: 1,
    version: 3,
    prepare: () => harness.store.fault = "busy",
  },
  {
    fault: "the engine restarts without adapters",
    gateway: 0,
    version: 4,
    prepare: () => {
      for (const engine of harness.engines) {
        engine.restart();
        engine.models = ["m"];
        harness.register(engine);
      }
    },
  },
];

for (const { fault, gateway, version, prepare } of VERSION_ROWS) {
  test(`VERSION: no run starts on a version older than ${version}; fault: ${fault}`, async () => {
    const before = await harness.call("/brief/1", { gateway });
    assert.is(before.status, 200);
    for (const engine of harness.engines) engine.newestVersion = version;
    harness.store.put("op/version/m/a1", {
      model: "m",
      adapter: "a1",
      version,
    });
    await waitMs(PROPAGATION_MS);
    prepare();
    const id = `version-${version}`;
    const answer = await harness.call("/brief/1", { id, gateway });
    harness.store.fault = "none";
    const runs = harness.listRuns(id);
    for (const run of runs) {
      assert.is(run.headers["x-expect-version"], String(version));
    }
    assert.is(answer.status, 200);
    assert.is(runs.length, 1);
  });
}

interface BudgetRow {
  fault: ReplicaBehaviour;
  path: string;
  /** Deadline that the caller sends. */
  deadlineMs: number;
  runs: number;
}

const BUDGET_ROWS: BudgetRow[] = [
  { fault: "answer", path: "/safe/1", deadlineMs: 900, runs: 1 },
  { fault: "answer", path: "/unsafe/1", deadlineMs: 60_000, runs: 1 },
  { fault: "fail", path: "/safe/1", deadlineMs: CALLER_DEADLINE_MS, runs: 2 },
  { fault: "hang", path: "/safe/1", deadlineMs: CALLER_DEADLINE_MS, runs: 2 },
  { fault: "shed", path: "/unsafe/1", deadlineMs: CALLER_DEADLINE_MS, runs: 1 },
];

for (const { fault, path, deadlineMs, runs } of BUDGET_ROWS) {
  test(`BUDGET: ${path} with ${deadlineMs} ms, ${fault}: no run is given more than the remaining time`, async () => {
    const id = `budget-${fault}-${deadlineMs}`;
    setBehaviours([fault]);
    await harness.call(path, {
      id,
      headers: { "X-Deadline-Ms": String(deadlineMs) },
    });
    const deadlinesMs = harness.listRuns(id).map(readDeadlineMs);
    assert.is(deadlinesMs.length, runs);
    const routeMs = 3_000;
    for (const each of deadlinesMs) {
      assert.ok(each > 0 && each <= Math.min(deadlineMs, routeMs), `${each}`);
    }
    if (fault === "hang") {
      assert.ok(
        Math.min(...deadlinesMs) < Math.max(...deadlinesMs) - 500,
        `${deadlinesMs}`,
      );
    }
  });
}

test("a request whose connections are reset by replicas that live is served afterwards", async () => {
  setBehaviours(Array.from({ length: 8 }, (): ReplicaBehaviour => "reset"));
  for (let turn = 0; turn < 8; turn += 1) {
    const id = `reset-${turn}`;
    await harness.call("/unsafe/1", { id, gateway: 0, body: "is reset" });
  }
  const answer = await harness.call("/unsafe/1", {
    gateway: 0,
    body: "is reset",
  });
  assert.is(answer.status, 200);
});

test("BUDGET: a request that crashes replicas is quarantined at all gateways, under any request id", async () => {
  setBehaviours(Array.from({ length: 40 }, (): ReplicaBehaviour => "crash"));
  for (let turn = 0; turn < 8; turn += 1) {
    const id = `crash-${turn}`;
    await harness.call("/unsafe/1", { id, gateway: 0, body: "crashes" });
  }
  const runs = harness.services.flatMap((service) => service.receivedRequests)
    .filter(({ body }) => body === "crashes");
  assert.is(runs.length, MAX_CRASHES);
  // By then the other gateway has learned of the crashes from heartbeats.
  await waitMs(1_500);
  const answer = await harness.call("/unsafe/1", {
    gateway: 1,
    body: "crashes",
  });
  assert.is(answer.status, 503);
});

interface DisconnectRow {
  path: string;
  fault: ReplicaBehaviour;
  disconnectAfterMs: number;
}

const DISCONNECT_ROWS: DisconnectRow[] = [
  { path: "/safe/1", fault: "hang", disconnectAfterMs: 200 },
  { path: "/safe/1", fault: "hang", disconnectAfterMs: 1_400 },
  { path: "/brief/1", fault: "hang", disconnectAfterMs: 300 },
  { path: "/brief/1", fault: "slow", disconnectAfterMs: 900 },
  { path: "/resume/1", fault: "slow", disconnectAfterMs: 900 },
];

for (
  const { path, fault, disconnectAfterMs } of DISCONNECT_ROWS
) {
  test(`GONE: ${path}, ${fault}, disconnected after ${disconnectAfterMs} ms: its run is cancelled and not retried`, async () => {
    const id = `gone-${path}-${disconnectAfterMs}`;
    setBehaviours(Array.from({ length: 10 }, () => fault));
    await harness.call(path, { id, disconnectAfterMs })
      .catch(() => undefined);
    const runsAtDisconnect = harness.countRuns(id);
    assert.ok(runsAtDisconnect > 0);
    await waitMs(CANCEL_MS);
    assert.ok(harness.listRuns(id).every(({ wasAborted: wasCut }) => wasCut));
    await waitMs(1_500);
    assert.is(harness.countRuns(id), runsAtDisconnect);
  });
}

test.run();
