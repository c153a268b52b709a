/** What an owner's orders prove while other daemons may own the engine too. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  AdmissionController,
  type EngineOrder,
} from "../../../src/core/admission/admission_controller.ts";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import { findRendezvousWinner } from "../../../src/core/hashing.ts";
import { EngineOwnership } from "../../../src/core/ordering/engine_ownership.ts";
import { OrderPlanner } from "../../../src/core/ordering/order_planner.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const TERM_MS = 3_000;
const CLAIMED_AT = TERM_MS + 300;
/** Length of a turn, and the time in which each claimant has one. */
const TURN_MS = 1_350;
const CLAIMANTS = ["host-1", "host-2", "host-3"];
const CYCLE_MS = (CLAIMANTS.length + 1) * TURN_MS;
/** An adapter that only one of the claimants may evict at first. */
const RESIDENT = "m/a1";
const SHARE_OWNER =
  findRendezvousWinner(RESIDENT, CLAIMANTS.map((id) => ({ id })))?.id ?? "";
const OTHER = CLAIMANTS.find((id) => id !== SHARE_OWNER) ?? "";
const MINORITY = { hasQuorum: false, isDisclaimed: false };
const MAJORITY = { hasQuorum: true, isDisclaimed: false };
const WANTED: EngineOrder = {
  kind: "load",
  model: "m",
  adapter: "a2",
  adapterPath: "m/a2",
  version: undefined,
};

/**
 * Creates the planner of a daemon that claimed an engine whose only adapter slot
 * is taken, at the same time as others.
 */
function createClaimant(selfId: string, isSteady = true): OrderPlanner {
  const ownership = new EngineOwnership({ termMs: TERM_MS });
  const report = { sequence: 5, bornAtUnixMs: 1_000, ageMs: CYCLE_MS };
  ownership.recordReport({ ...report, readAt: 0 }, 0);
  ownership.recordReport({ ...report, readAt: CLAIMED_AT }, CLAIMED_AT);
  ownership.claim({ ...MINORITY, isUnowned: false }, CLAIMED_AT);
  const slots = new AdapterSlots(1);
  slots.reconcile(
    new Map([[RESIDENT, { version: 1, isLoading: false }]]),
    -60_000,
  );
  const planner = new OrderPlanner(
    {
      selfId,
      listClaimants: () => CLAIMANTS,
      selectOwnAdapter: () => "own",
      isClockSteady: () => isSteady,
    },
    ownership,
    new AdmissionController(
      slots,
      new BatchCapacity({ batchSize: 8, kvCapacityTokens: 100_000 }),
    ),
  );
  planner.recordOwnership(true, CLAIMED_AT);
  return planner;
}

/** The begin of a claimant's turn, later than its own share alone counts. */
function computeTurnAt(selfId: string): number {
  return 2 * CYCLE_MS + CLAIMANTS.indexOf(selfId) * TURN_MS;
}

test("the eviction of an adapter that another claimant may evict too proves nothing without a majority", () => {
  const at = computeTurnAt(OTHER);
  const planned = createClaimant(OTHER).plan(WANTED, MINORITY, at);
  assert.is(planned?.order.adapterPath, RESIDENT);
  assert.is(planned?.order.kind, "evict");
  assert.ok(planned?.isContested);
  assert.ok(planned?.isInconclusive);
});

test("no adapter of another claimant's share is evicted outside the own turn without a majority", () => {
  const at = computeTurnAt(OTHER) - TURN_MS / 2;
  assert.is(createClaimant(OTHER).plan(WANTED, MINORITY, at), undefined);
  assert.is(
    createClaimant(OTHER).plan(WANTED, MAJORITY, at)?.order.adapterPath,
    RESIDENT,
  );
});

test("a daemon whose clock may be off takes no turn without a majority", () => {
  const claimant = createClaimant(OTHER, false);
  const baseModel: EngineOrder = { ...WANTED, adapter: "", adapterPath: "m" };
  for (let at = 2 * CYCLE_MS; at < 3 * CYCLE_MS; at += 100) {
    assert.is(claimant.plan(WANTED, MINORITY, at), undefined);
    assert.is(claimant.plan(baseModel, MINORITY, at), undefined);
  }
  const at = computeTurnAt(OTHER);
  assert.ok(
    createClaimant(OTHER).plan(baseModel, MINORITY, at)?.isInconclusive,
  );
  assert.is(claimant.plan(baseModel, MAJORITY, at)?.order, baseModel);
});

test("the eviction of an adapter of the own share proves the ownership at once", () => {
  const planned = createClaimant(SHARE_OWNER).plan(
    WANTED,
    MINORITY,
    CLAIMED_AT,
  );
  assert.is(planned?.order.adapterPath, RESIDENT);
  assert.ok(planned?.isContested);
  assert.not(planned?.isInconclusive);
});

test.run();
