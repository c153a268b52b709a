/** What an engine's owner tells about its claims and orders, for the log. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwner,
  type EngineOwnerEffect,
  type OwnershipContext,
} from "../../../src/core/ordering/engine_owner.ts";
import { OrderEvidence } from "../../../src/core/ordering/engine_ownership.ts";

const TERM_MS = 3_000;
const CONTEXT: OwnershipContext = {
  isDesiredOwner: true,
  isCandidate: true,
  hasQuorum: true,
  isUnowned: false,
  peers: undefined,
  fetchShare: {
    fleetFetches: 0,
    fetchLimit: 8,
    canFetch: true,
    isAtHostShare: false,
    isAtMinConcurrency: false,
    fetchesPerEngine: 1,
  },
};

function createOwner(): EngineOwner {
  return new EngineOwner({
    selfId: "host-1",
    engineId: "engine",
    limits: {
      adapterSlots: 2,
      batchSize: 8,
      kvCapacityTokens: 1_000,
      weightsMb: 10,
      models: [{ name: "m", weightsMb: 10, adapterCount: 9, loadMs: 600 }],
    },
    termMs: TERM_MS,
    drawFence: () => 1,
    listClaimants: () => ["host-1"],
    selectOwnAdapter: () => "own",
  });
}

/** Records a report of an engine that has no model and ran for a while. */
function recordReport(
  owner: EngineOwner,
  sequence: number,
  readAt: number,
): EngineOwnerEffect[] {
  return owner.recordReport({
    sequence,
    bornAtUnixMs: 1_000,
    ageMs: 60_000,
    readAt,
    models: [],
    adapters: new Map(),
  }, readAt);
}

function getChange(effects: readonly EngineOwnerEffect[]): object {
  const effect = effects.find((each) => each.kind === "belief");
  return effect?.kind === "belief"
    ? { change: effect.change, ...effect.detail }
    : {};
}

test("a claim names its conditions, so that the log tells why two daemons claimed", () => {
  const owner = createOwner();
  recordReport(owner, 4, 0);
  recordReport(owner, 4, TERM_MS + 300);
  assert.equal(getChange(owner.tick(CONTEXT, TERM_MS + 310)), {
    change: "claimed",
    sequence: 4,
    observedMs: TERM_MS + 310,
    engineAgeMs: TERM_MS + 310 + 60_000,
    hasQuorum: true,
    isUnowned: false,
  });
});

test("an order names what its acceptance will prove", () => {
  const owner = createOwner();
  recordReport(owner, 4, 0);
  recordReport(owner, 4, TERM_MS + 300);
  const effects = owner.tick(CONTEXT, TERM_MS + 310);
  const order = effects.find((each) => each.kind === "giveOrder");
  assert.is(order?.kind === "giveOrder" && order.evidence, OrderEvidence.Load);
});

test("a deposed owner names the count that it knew and the one that it read", () => {
  const owner = createOwner();
  recordReport(owner, 4, 0);
  recordReport(owner, 4, TERM_MS + 300);
  owner.tick(CONTEXT, TERM_MS + 310);
  owner.recordOrderAnswer({ kind: "conflict" }, TERM_MS + 320);
  assert.equal(getChange(recordReport(owner, 9, TERM_MS + 900)), {
    change: "deposed",
    sequence: 9,
    knownSequence: 4,
    hasRestarted: false,
  });
});

test.run();
