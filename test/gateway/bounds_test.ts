/**
 * Bounds on what reaches replicas, one row a fault: versions of adapters (VERSION),
 * time and repeats that replicas are handed (BUDGET), and work for callers that
 * have left (GONE).
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  ReplicaBehaviour,
  SeenRequest,
} from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Time in which a published version is known to a gateway, far below the rules' seconds. */
const PROPAGATION_MS = 700;
/** Deadline that the bench's callers name. */
const CALLER_DEADLINE_MS = 2_500;
/** Time in which a replica's work for a caller who left must have been stopped. */
const CANCEL_MS = 500;
/** Replicas that one crashing request may bring down before it is known; the rule allows it three more. */
const MAX_CRASHES = 3;

const harness = new GatewayHarness();

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 2, engines: 2, services: 4 });
});
test.after(() => harness.stop());
test.after.each(() => setBehaviours([]));

/** Whichever replica is asked next shows the next behaviour; sound ones follow. */
function setBehaviours(behaviours: ReplicaBehaviour[]): void {
  for (const replica of [...harness.services, ...harness.engines]) {
    replica.behaviours = behaviours;
  }
}

function readDeadlineMs(seen: SeenRequest | undefined): number {
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
    fault: "the store turns watches away",
    gateway: 1,
    version: 3,
    prepare: () => harness.store.fault = "busy",
  },
  {
    fault: "the engine restarts empty",
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
  test(`VERSION: nothing begins on an older version than ${version}; fault: ${fault}`, async () => {
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
  /** What the caller names. */
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
  test(`BUDGET: ${path} with ${deadlineMs} ms, ${fault}: no run is handed more time than is left`, async () => {
    const id = `budget-${fault}-${deadlineMs}`;
    setBehaviours([fault]);
    await harness.call(path, {
      id,
      headers: { "X-Deadline-Ms": String(deadlineMs) },
    });
    const handed = harness.listRuns(id).map(readDeadlineMs);
    assert.is(handed.length, runs);
    const routeMs = 3_000;
    for (const each of handed) {
      assert.ok(each > 0 && each <= Math.min(deadlineMs, routeMs), `${each}`);
    }
    if (fault === "hang") {
      assert.ok(Math.min(...handed) < Math.max(...handed) - 500, `${handed}`);
    }
  });
}

test("BUDGET: a request that crashes replicas is stopped, whoever sends it again", async () => {
  setBehaviours(Array.from({ length: 40 }, (): ReplicaBehaviour => "reset"));
  for (let turn = 0; turn < 8; turn += 1) {
    const id = `crash-${turn}`;
    await harness.call("/unsafe/1", { id, gateway: 0, body: "crashes" });
  }
  const runs = harness.services.flatMap((service) => service.seen)
    .filter(({ body }) => body === "crashes");
  assert.is(runs.length, MAX_CRASHES);
  // Another gateway has heard of it within its heartbeats.
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
  const { path, fault, disconnectAfterMs: disconnectAfterMs } of DISCONNECT_ROWS
) {
  test(`GONE: ${path}, ${fault}, left after ${disconnectAfterMs} ms: its work stops and nothing follows`, async () => {
    const id = `gone-${path}-${disconnectAfterMs}`;
    setBehaviours(Array.from({ length: 10 }, () => fault));
    await harness.call(path, { id, disconnectAfterMs: disconnectAfterMs })
      .catch(() => undefined);
    const runsAtDisconnect = harness.countRuns(id);
    assert.ok(runsAtDisconnect > 0);
    await waitMs(CANCEL_MS);
    assert.ok(harness.listRuns(id).every(({ wasCut }) => wasCut));
    await waitMs(1_500);
    assert.is(harness.countRuns(id), runsAtDisconnect);
  });
}

test.run();
