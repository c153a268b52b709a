/**
 * Two daemons that claim an engine at the same time must not give it the same
 * eviction: the engine confirms both.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  AdmissionController,
  type EngineOrder,
} from "../../../src/core/admission/admission_controller.ts";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import { EngineOwnership } from "../../../src/core/ordering/engine_ownership.ts";
import { OrderPlanner } from "../../../src/core/ordering/order_planner.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const CLAIMANTS = ["host-1", "host-2", "host-3"];
const TERM_MS = 3_000;
const REPORT = { sequence: 3, bornAtUnixMs: 1 };
/** Age of the engine at time 0. */
const ENGINE_AGE_MS = 60_000;
const CLAIMED_AT = 3_400;
/** By what a claimant's wall clock may be off, up to an age below 0. */
const CLOCK_ERRORS_MS = Array.from(
  { length: 35 },
  (_, index) => -65_000 + index * 2_500,
);
/** A majority is heard, and some possible owner is silent. */
const SILENT = { hasQuorum: true, isIsolated: false, isDisclaimed: false };
const DISCLAIMED = { ...SILENT, isDisclaimed: true };
const MINORITY = { ...SILENT, hasQuorum: false };
/** Length of a turn, and the time in which each claimant has one. */
const TURN_MS = 1_350;
const CYCLE_MS = (CLAIMANTS.length + 1) * TURN_MS;
/** The only adapter of an engine, which the claimants evict in turns. */
const COMMON = "m/a1";
const WANTED = {
  kind: "load",
  model: "m",
  adapter: "wanted",
  adapterPath: "m/wanted",
  version: undefined,
} as const;

/** Returns a new owner of a full engine that other daemons may have claimed. */
function createOwner(
  selfId: string,
  paths: readonly string[],
  { isClockSteady = true, clockErrorMs = 0 } = {},
) {
  const ownership = new EngineOwnership({ termMs: TERM_MS });
  for (const readAt of [0, CLAIMED_AT]) {
    const ageMs = ENGINE_AGE_MS + clockErrorMs + readAt;
    ownership.recordReport({ ...REPORT, ageMs, readAt }, readAt);
  }
  ownership.claim({ ...SILENT, isUnowned: false }, CLAIMED_AT);
  const admission = new AdmissionController(
    new AdapterSlots(paths.length),
    new BatchCapacity({ batchSize: 8, kvCapacityTokens: 100_000 }),
  );
  admission.slots.reconcile(
    new Map(paths.map((path) => [path, { version: 1, isLoading: false }])),
    CLAIMED_AT,
  );
  const planner = new OrderPlanner(
    {
      selfId,
      hostOrdinal: 1,
      listClaimants: () => CLAIMANTS,
      selectOwnAdapter: () => `own ${selfId}`,
      isClockSteady: () => isClockSteady,
    },
    ownership,
    admission,
  );
  planner.recordOwnership(true, CLAIMED_AT);
  return { planner, ownership, admission };
}

/** Keeps an adapter in use. */
function use(admission: AdmissionController, path: string): void {
  admission.adoptPermit({
    permitId: path,
    adapterPath: path,
    lifetimeMs: 60_000,
    promptTokens: 1,
    outputTokens: 1,
    promptParts: [],
  }, CLAIMED_AT);
}

function listEngines(): string[][] {
  return Array.from(
    { length: 50 },
    (_, from) => [0, 1, 2].map((each) => `m/a${from + each}`),
  );
}

test("new owners do not evict the same adapter within two terms of their claims", () => {
  for (const paths of listEngines()) {
    for (const sinceClaimMs of [0, TERM_MS + 100, 2 * TERM_MS]) {
      const victims = CLAIMANTS.map((selfId) =>
        createOwner(selfId, paths).planner
          .plan(WANTED, SILENT, CLAIMED_AT + sinceClaimMs)?.order.adapterPath
      );
      assert.is(new Set(victims).size, CLAIMANTS.length);
    }
  }
});

test("an owner whose proof is a term old evicts nothing that new owners evict", () => {
  for (const paths of listEngines()) {
    const lapsed = createOwner("host-1", paths);
    lapsed.planner.recordOwnership(false, CLAIMED_AT);
    const { ownership, planner } = lapsed;
    ownership.recordOrderAnswer(
      { kind: "accepted" },
      "load",
      CLAIMED_AT,
      CLAIMED_AT,
    );
    planner.recordProof(CLAIMED_AT);
    const now = CLAIMED_AT + TERM_MS + 100;
    const victims = ["host-2", "host-3"].map((selfId) =>
      createOwner(selfId, paths).planner.plan(WANTED, SILENT, now)?.order
        .adapterPath
    );
    const busy = paths.filter((path) => !victims.includes(path));
    for (const path of busy) use(lapsed.admission, path);
    assert.is(planner.plan(WANTED, SILENT, now), undefined);
  }
});

test("new owners whose clocks differ by seconds do not evict the same adapter", () => {
  for (const paths of listEngines()) {
    for (const clockErrorMs of CLOCK_ERRORS_MS) {
      const owners = CLAIMANTS.map((selfId, index) =>
        createOwner(selfId, paths, {
          clockErrorMs: index === 0 ? clockErrorMs : 0,
        })
      );
      const victims = owners.map(({ planner }) =>
        planner.plan(WANTED, SILENT, CLAIMED_AT)?.order.adapterPath
      );
      assert.not(victims.includes(undefined));
      assert.is(new Set(victims).size, CLAIMANTS.length);
    }
  }
});

test("the adapters are not divided anew while new owners may evict them", () => {
  for (const paths of listEngines()) {
    const { planner } = createOwner("host-1", paths);
    const victims = [CLAIMED_AT, 14_000, 14_200, 14_980, 15_000, 29_900]
      .map((now) => planner.plan(WANTED, SILENT, now)?.order.adapterPath);
    assert.is(new Set(victims).size, 1);
    assert.ok(victims[0]);
  }
});

test("an owner whose rivals can't have seen its proof yet evicts only from the share that it had before", () => {
  for (const paths of listEngines()) {
    const rivalVictims = new Map(CLAIMANTS.map((selfId) => [
      selfId,
      createOwner(selfId, paths).planner.plan(WANTED, SILENT, CLAIMED_AT)?.order
        .adapterPath,
    ]));
    const { planner, ownership, admission } = createOwner("host-1", paths);
    const now = CLAIMED_AT + TERM_MS + 100;
    const proof = planner.plan(WANTED, SILENT, now)?.order;
    assert.is(proof?.adapterPath, rivalVictims.get("host-1"));
    ownership.recordOrderAnswer({ kind: "accepted" }, "eviction", now, now);
    planner.recordProof(now);
    admission.slots.recordEvicted(proof?.adapterPath ?? "");
    admission.slots.recordLoadOrdered("m/wanted", undefined, now);
    const eviction = { ...WANTED, kind: "evict" } as const;
    assert.is(planner.plan(eviction, SILENT, now + 100), undefined);
    assert.is(planner.plan(eviction, SILENT, now + 1_000)?.order, eviction);
  }
});

test("an owner that loses its proof in a suspension keeps to its share while rivals can't have seen its eviction", () => {
  for (const paths of listEngines()) {
    const { planner, ownership, admission } = createOwner("host-1", paths);
    const victim = planner.plan(WANTED, SILENT, CLAIMED_AT)?.order.adapterPath;
    planner.recordOrder(CLAIMED_AT);
    ownership.recordOrderAnswer(
      { kind: "accepted" },
      "eviction",
      Number.NEGATIVE_INFINITY,
      CLAIMED_AT + 10,
    );
    assert.not(ownership.isExclusive(CLAIMED_AT + 10));
    admission.slots.recordEvicted(victim ?? "");
    admission.slots.recordLoadOrdered("m/wanted", undefined, CLAIMED_AT + 10);
    const eviction = { ...WANTED, kind: "evict" } as const;
    for (const now of [CLAIMED_AT + 20, CLAIMED_AT + 840]) {
      assert.is(planner.plan(eviction, SILENT, now), undefined);
    }
  }
});

test("an owner of a term evicts any idle adapter while all others disclaim the engine", () => {
  for (const paths of listEngines()) {
    for (const path of paths) {
      const { planner, admission } = createOwner("host-1", paths);
      for (const other of paths) if (other !== path) use(admission, other);
      for (const now of [CLAIMED_AT + TERM_MS, 14_500]) {
        const order = planner.plan(WANTED, DISCLAIMED, now)?.order;
        assert.is(order?.adapterPath, path);
      }
    }
  }
});

test("a new owner keeps to its share, whatever others say", () => {
  for (const paths of listEngines()) {
    const victims = CLAIMANTS.map((selfId) =>
      createOwner(selfId, paths).planner
        .plan(WANTED, DISCLAIMED, CLAIMED_AT + TERM_MS - 100)?.order.adapterPath
    );
    assert.is(new Set(victims).size, CLAIMANTS.length);
    for (const [index, selfId] of CLAIMANTS.entries()) {
      const { planner, admission } = createOwner(selfId, paths);
      use(admission, victims[index] ?? "");
      const now = CLAIMED_AT + TERM_MS - 100;
      assert.is(planner.plan(WANTED, DISCLAIMED, now), undefined);
    }
  }
});

/** Returns the begin of a claimant's turn, some cycles after its claim. */
function computeTurnAt(selfId: string): number {
  const cycles = Math.ceil((ENGINE_AGE_MS + CLAIMED_AT) / CYCLE_MS) + 2;
  const turnAge = cycles * CYCLE_MS + CLAIMANTS.indexOf(selfId) * TURN_MS;
  return turnAge - ENGINE_AGE_MS;
}

test("the eviction of an adapter that another claimant may evict too proves nothing without a majority", () => {
  for (const selfId of CLAIMANTS) {
    const { planner } = createOwner(selfId, [COMMON]);
    const planned = planner.plan(WANTED, MINORITY, computeTurnAt(selfId));
    assert.is(planned?.order.adapterPath, COMMON);
    assert.is(planned?.order.kind, "evict");
    assert.ok(planned?.isContested);
    assert.ok(planned?.isInconclusive);
  }
});

test("an adapter that the claimants share is evicted only in the own turn, or while all others disclaim the engine", () => {
  for (const selfId of CLAIMANTS) {
    const { planner } = createOwner(selfId, [COMMON]);
    const at = computeTurnAt(selfId) - TURN_MS / 2;
    assert.is(planner.plan(WANTED, MINORITY, at), undefined);
    assert.is(planner.plan(WANTED, SILENT, at), undefined);
    const order = planner.plan(WANTED, DISCLAIMED, at)?.order;
    assert.is(order?.adapterPath, COMMON);
  }
});

test("a daemon whose clock may be off takes no turn without a majority", () => {
  const { planner } = createOwner("host-1", [COMMON], {
    isClockSteady: false,
  });
  const baseModel: EngineOrder = { ...WANTED, adapter: "", adapterPath: "m" };
  for (let at = 2 * CYCLE_MS; at < 3 * CYCLE_MS; at += 100) {
    assert.is(planner.plan(WANTED, MINORITY, at), undefined);
    assert.is(planner.plan(baseModel, MINORITY, at), undefined);
  }
  const at = computeTurnAt("host-1");
  const steady = createOwner("host-1", [COMMON]).planner;
  assert.ok(steady.plan(baseModel, MINORITY, at)?.isInconclusive);
  assert.is(planner.plan(baseModel, SILENT, at)?.order, baseModel);
});

test("the eviction of an adapter of the own share proves the ownership at once", () => {
  for (const paths of listEngines()) {
    const { planner } = createOwner("host-1", paths);
    const planned = planner.plan(WANTED, MINORITY, CLAIMED_AT);
    assert.is(planned?.order.kind, "evict");
    assert.ok(planned?.isContested);
    assert.not(planned?.isInconclusive);
  }
});

test.run();
