/**
 * Orders that one engine accepts from successive owners: their fencing numbers
 * increase, whatever the owners' wall clocks show and whatever they forget, what
 * was under way during a suspension proves nothing, and the log tells on what
 * each claim and order rests.
 */
import {
  buildEngineLimits,
  buildPermitRequest,
  FETCH_SHARE,
} from "./engine_owner_builder.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AdoptedRun } from "../../../src/core/admission/admission_controller.ts";
import { OrderEvidence } from "../../../src/core/ordering/engine_ownership.ts";
import {
  type ContentsReport,
  EngineOwner,
  type EngineOwnerEffect,
  type OwnershipContext,
} from "../../../src/core/ordering/engine_owner.ts";

const TERM_MS = 3_000;
const BORN = 1_700_000_000_000;
/** How far a wall clock runs ahead. */
const AHEAD_MS = 2_800;

type GiveOrder = Extract<EngineOwnerEffect, { kind: "giveOrder" }>;

const CONTEXT: OwnershipContext = {
  isDesiredOwner: true,
  isCandidate: true,
  hasQuorum: true,
  isIsolated: false,
  isUnowned: true,
  isDisclaimed: true,
  peers: undefined,
  fetchShare: FETCH_SHARE,
};

const dateNow = Date.now;

test.after.each(() => {
  Date.now = dateNow;
});

/** Creates an owner on a host whose wall clock shows the time of day. */
function createOwner(
  selfId: string,
  wallUnixMs: number,
  claimants = [selfId],
): EngineOwner {
  Date.now = () => wallUnixMs;
  return new EngineOwner({
    selfId,
    hostOrdinal: 1,
    listClaimants: () => claimants,
    engineId: "engine",
    limits: buildEngineLimits(600),
    termMs: TERM_MS,
    selectOwnAdapter: () => selfId,
    isClockSteady: () => true,
  });
}

/** Describes an engine whose base model is present once it counted an order. */
function buildReport(sequence: number, readAt: number): ContentsReport {
  return {
    sequence,
    bornAtUnixMs: BORN,
    ageMs: 60_000 + readAt,
    readAt,
    models: sequence === 0 ? [] : ["m"],
    adapters: new Map(),
  };
}

/**
 * Claims an engine that no alive daemon has owned, by two reports; returns when
 * the second was read.
 */
function claim(owner: EngineOwner, sequence: number, from: number): number {
  owner.tick(CONTEXT, from);
  owner.recordReport(buildReport(sequence, from), from);
  const confirmedAt = from + 700;
  owner.tick(CONTEXT, confirmedAt);
  owner.recordReport(buildReport(sequence, confirmedAt), confirmedAt);
  return confirmedAt;
}

/** Requests an adapter and returns the order that follows. */
function requestAdapter(owner: EngineOwner, now: number): GiveOrder {
  owner.tick(CONTEXT, now);
  requestPermit(owner, "a1", now);
  return findOrder(owner.tick(CONTEXT, now));
}

function requestPermit(owner: EngineOwner, adapter: string, now: number): void {
  owner.requestPermit(buildPermitRequest(adapter, adapter, 1_000), now);
}

/** Builds a run that keeps an adapter in use. */
function buildRun(adapterPath: string): AdoptedRun {
  return {
    permitId: adapterPath,
    adapterPath,
    lifetimeMs: 60_000,
    promptTokens: 1,
    outputTokens: 1,
    promptParts: [],
  };
}

function findOrder(effects: readonly EngineOwnerEffect[]): GiveOrder {
  const order = effects.find((effect) => effect.kind === "giveOrder");
  if (!order) throw new Error("no order was given");
  return order;
}

/** Loads the base model of an empty engine. */
function loadModel(owner: EngineOwner): GiveOrder {
  owner.tick(CONTEXT, 0);
  owner.recordReport(buildReport(0, 0), 0);
  const order = findOrder(owner.tick(CONTEXT, 10));
  owner.recordOrderAnswer({ kind: "accepted" }, 15);
  return order;
}

test("an order after a restart of all daemons has a higher fencing number though clocks had run ahead", () => {
  const before = loadModel(createOwner("first", BORN + AHEAD_MS));
  const restarted = createOwner("second", BORN + 2_000);
  claim(restarted, 1, 2_000);
  assert.not(restarted.isOwner(), "the load may have had two senders");
  const claimedAt = 2_000 + TERM_MS + 300;
  restarted.tick(CONTEXT, claimedAt);
  restarted.recordReport(buildReport(1, claimedAt), claimedAt);
  const after = requestAdapter(restarted, claimedAt);
  assert.ok(after.fence > before.fence, `${after.fence} > ${before.fence}`);
});

test("an order after a handover has a higher fencing number though the former owner's clock ran ahead", () => {
  const former = createOwner("first", BORN + AHEAD_MS);
  const before = loadModel(former);
  const { handover } = former.handOver(5_000);
  assert.ok(handover);
  const next = createOwner("second", BORN + 5_000);
  next.acceptHandover(handover, 5_010);
  next.recordReport(buildReport(1, 5_015), 5_015);
  const after = requestAdapter(next, 5_020);
  assert.ok(after.fence > before.fence, `${after.fence} > ${before.fence}`);
});

/** Claims an engine that has accepted four orders, a term after a report. */
function claimAfterTerm(owner: EngineOwner): EngineOwnerEffect[] {
  owner.recordReport(buildReport(4, 0), 0);
  owner.recordReport(buildReport(4, TERM_MS + 300), TERM_MS + 300);
  return owner.tick({ ...CONTEXT, isUnowned: false }, TERM_MS + 310);
}

function getChange(effects: readonly EngineOwnerEffect[]): object {
  const effect = effects.find((each) => each.kind === "belief");
  return effect ? { change: effect.change, ...effect.detail } : {};
}

test("a claim names its conditions, so that the log tells why two daemons claimed", () => {
  const owner = createOwner("first", BORN);
  assert.equal(getChange(claimAfterTerm(owner)), {
    change: "claimed",
    sequence: 4,
    observedMs: TERM_MS + 310,
    engineAgeMs: TERM_MS + 310 + 60_000,
    hasQuorum: true,
    isUnowned: false,
  });
});

test("an order names what its acceptance will prove", () => {
  const owner = createOwner("first", BORN);
  claimAfterTerm(owner);
  const order = requestAdapter(owner, TERM_MS + 320);
  assert.is(order.evidence, OrderEvidence.Load);
});

test("a deposed owner names the count that it knew and the one that it read", () => {
  const owner = createOwner("first", BORN);
  claimAfterTerm(owner);
  requestAdapter(owner, TERM_MS + 320);
  owner.recordOrderAnswer({ kind: "conflict" }, TERM_MS + 330);
  const effects = owner.recordReport(
    buildReport(9, TERM_MS + 900),
    TERM_MS + 900,
  );
  assert.equal(getChange(effects), {
    change: "deposed",
    sequence: 9,
    knownSequence: 4,
    hasRestarted: false,
  });
});

test("an owner to which a claimant hands the engine over unproven evicts no adapter that another claimant evicts", () => {
  const claimants = ["former", "rival", "successor"];
  for (let from = 0; from < 30; from += 1) {
    const adapters = new Map(
      [0, 1, 2].map((each) => [
        `m/b${from + each}`,
        { version: 1, isLoading: false },
      ]),
    );
    const record = (owner: EngineOwner, at: number) =>
      owner.recordReport({ ...buildReport(4, at), adapters }, at);
    const claimedAt = TERM_MS + 310;
    const createClaimant = (id: string) => {
      const owner = createOwner(id, BORN, claimants);
      record(owner, 0);
      record(owner, claimedAt - 10);
      owner.tick({ ...CONTEXT, isUnowned: false }, claimedAt);
      return owner;
    };
    const rival = createClaimant("rival");
    const { handover } = createClaimant("former").handOver(claimedAt + 10);
    assert.ok(handover);
    const findVictim = (owner: EngineOwner) => {
      record(owner, claimedAt + 1_000);
      requestPermit(owner, "a1", claimedAt + 1_010);
      return owner.tick(CONTEXT, claimedAt + 1_010)
        .find((effect) => effect.kind === "giveOrder")?.order.adapterPath;
    };
    const createSuccessor = (busyPaths: readonly string[]) => {
      const owner = createOwner("successor", BORN, claimants);
      owner.acceptHandover(handover, claimedAt + 60);
      const runs = busyPaths.map((path) => buildRun(path));
      owner.adoptRuns("entry", { runs, total: runs.length }, claimedAt + 70);
      return owner;
    };
    const rivalVictim = findVictim(rival);
    const ownVictim = findVictim(createSuccessor([]));
    assert.ok(rivalVictim && ownVictim);
    assert.is.not(ownVictim, rivalVictim);
    assert.is(findVictim(createSuccessor([ownVictim])), undefined);
  }
});

test("a daemon that is handed an engine back within a term of its own order does not alternate with the owner in between", () => {
  const first = createOwner("first", BORN);
  claimAfterTerm(first);
  const orderedAt = TERM_MS + 320;
  requestAdapter(first, orderedAt);
  first.recordOrderAnswer({ kind: "accepted" }, orderedAt + 5);
  const there = first.handOver(orderedAt + 100).handover;
  assert.ok(there);
  const second = createOwner("second", BORN);
  second.acceptHandover(there, orderedAt + 150);
  second.recordReport(buildReport(5, orderedAt + 160), orderedAt + 160);
  requestAdapter(second, orderedAt + 170);
  second.recordOrderAnswer({ kind: "accepted" }, orderedAt + 175);
  const back = second.handOver(orderedAt + 1_500).handover;
  assert.ok(back);
  const restarted = createOwner("first", BORN);
  restarted.acceptHandover(back, orderedAt + 1_550);
  requestPermit(restarted, "a2", orderedAt + 1_560);
  const countOrders = (now: number) => {
    restarted.recordReport(buildReport(6, now), now);
    return restarted.tick(CONTEXT, now)
      .filter((effect) => effect.kind === "giveOrder").length;
  };
  assert.is(countOrders(orderedAt + 1_600), 0);
  assert.is(countOrders(orderedAt + TERM_MS), 0);
  requestPermit(restarted, "a3", orderedAt + TERM_MS + 390);
  assert.is(countOrders(orderedAt + TERM_MS + 400), 1);
});

test("a model that an engine is loading is not ordered again after a report that does not show it yet", () => {
  const owner = createOwner("first", BORN);
  claimAfterTerm(owner);
  requestAdapter(owner, TERM_MS + 320);
  owner.recordOrderAnswer({ kind: "accepted" }, TERM_MS + 330);
  const restartedAt = TERM_MS + 2_400;
  const restarted = { bornAtUnixMs: BORN + restartedAt, models: [] };
  owner.recordReport(
    { ...buildReport(0, restartedAt), ...restarted },
    restartedAt,
  );
  const load = findOrder(owner.tick(CONTEXT, restartedAt + 10));
  assert.is(load.order.adapter, "");
  owner.recordOrderAnswer({ kind: "accepted" }, restartedAt + 20);
  const loadedAt = restartedAt + 20 + 600;
  requestPermit(owner, "a2", loadedAt);
  owner.recordReport({ ...buildReport(1, loadedAt), ...restarted }, loadedAt);
  const next = findOrder(owner.tick(CONTEXT, loadedAt + 10));
  assert.is.not(next.order.adapter, "");
});

test("an owner that rests after a contested order does not hand the engine over", () => {
  const owner = createOwner("first", BORN);
  const { evidence } = loadModel(owner);
  assert.is(evidence, OrderEvidence.Inconclusive);
  assert.is(owner.handOver(100).handover, undefined);
});

test("an order that was under way during a suspension does not prove ownership once it is answered", () => {
  const owner = createOwner("first", BORN);
  const claimedAt = TERM_MS + 310;
  claimAfterTerm(owner);
  assert.ok(requestAdapter(owner, claimedAt + 10));
  owner.recordPause(claimedAt + 20);
  owner.recordOrderAnswer({ kind: "accepted" }, claimedAt + 30);
  requestPermit(owner, "a2", claimedAt + 40);
  const effects = owner.tick(CONTEXT, claimedAt + 40);
  assert.not(
    effects.some((effect) => effect.kind === "giveOrder"),
    "another daemon may have ordered during the suspension",
  );
});

test("a report that was requested before a suspension confirms nothing after it", () => {
  const owner = createOwner("first", BORN);
  const context = { ...CONTEXT, isUnowned: false };
  const readAt = TERM_MS + 400;
  owner.recordReport(buildReport(5, 0), 10);
  owner.recordPause(readAt + 20);
  owner.recordReport(buildReport(5, readAt), readAt + 30);
  owner.tick(context, readAt + 40);
  assert.not(owner.isOwner(), "another daemon may have ordered since");
  owner.recordReport(buildReport(5, readAt + 50), readAt + 60);
  owner.tick(context, readAt + 70);
  assert.ok(owner.isOwner());
});

test("the others' word is asked for an eviction only while a request waits at a full engine", () => {
  const owner = createOwner("first", BORN);
  const adapters = (count: number) =>
    new Map(
      Array.from({ length: count }, (_, index) => [
        `m/b${index}`,
        { version: 1, isLoading: false },
      ]),
    );
  const report = (count: number, at: number) => {
    owner.tick(CONTEXT, at);
    owner.recordReport(
      { ...buildReport(2, at), adapters: adapters(count) },
      at,
    );
  };
  report(3, 0);
  report(3, 700);
  owner.tick(CONTEXT, 700);
  assert.ok(owner.isOwner());
  assert.is(owner.getDisclaimerRequirements(800), undefined);
  requestPermit(owner, "a1", 800);
  assert.equal(owner.getDisclaimerRequirements(800), {
    since: 800 - 1_200,
    sameProcessSince: Number.POSITIVE_INFINITY,
    mayHaveLeft: true,
  });
  owner.setLimits({
    adapterSlots: 4,
    batchSize: 8,
    kvCapacityTokens: 100_000,
    weightsMb: 100,
    models: [],
  });
  assert.is(owner.getDisclaimerRequirements(800), undefined, "a slot is free");
});

/** Returns how many adapters a sole owner of a full engine evicts unasked. */
function countSpareEvictions(context: OwnershipContext): number {
  const owner = createOwner("next", BORN);
  const adapters = new Map(
    Array.from(
      { length: 8 },
      (_, index) => [`m/a${index}`, { version: 1, isLoading: false }],
    ),
  );
  owner.setLimits({ ...buildEngineLimits(600), adapterSlots: 8 });
  owner.tick({ ...context, peers: ["next"] }, 0);
  owner.recordReportFailure();
  owner.acceptHandover({
    sequence: 9,
    bornAtUnixMs: BORN,
    acceptedAgeMs: 0,
    models: ["m"],
    adapters: [...adapters.keys()].map((path) => [path, 1, false]),
  }, 10);
  owner.adoptRuns("next", { runs: [], total: 0 }, 15);
  let evictions = 0;
  for (let now = 20; now < 2_500; now += 20) {
    for (const effect of owner.tick(context, now)) {
      if (effect.kind === "readReport") {
        const report = { ...buildReport(9 + evictions, now), adapters };
        owner.recordReport(report, now);
      }
      if (effect.kind !== "giveOrder") continue;
      assert.is(effect.order.kind, "evict");
      evictions += 1;
      adapters.delete(effect.order.adapterPath);
      owner.recordOrderAnswer({ kind: "accepted" }, now);
    }
  }
  return evictions;
}

test("an owner that knows nobody keeps slots free, so that it can prove its ownership by a load at any time", () => {
  assert.is(countSpareEvictions(CONTEXT), 0);
  const isolated = { ...CONTEXT, hasQuorum: false, isIsolated: true };
  assert.is(countSpareEvictions(isolated), 2);
});

test.run();
