/**
 * Daemons that each may load the base model of an empty engine, which confirms
 * that order to all of them: their orders do not alternate within a term.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwner,
  type EngineOwnerEffect,
  type OwnershipContext,
} from "../../../src/core/ordering/engine_owner.ts";

const TERM_MS = 3_000;
const MODEL_LOAD_MS = 2_900;
const STEP_MS = 20;

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

/** An engine that confirms the load of its base model to everybody. */
class EmptyEngine {
  sequence = 0;
  bornAt = 0;
  hasModel = false;
  readonly orders: { daemon: string; at: number }[] = [];

  restart(at: number): void {
    this.sequence = 0;
    this.bornAt = at;
    this.hasModel = false;
  }
}

function createOwner(selfId: string): EngineOwner {
  return new EngineOwner({
    selfId,
    engineId: "engine",
    listClaimants: () => ["former", "other"],
    selectOwnAdapter: () => `own-${selfId}`,
    limits: {
      adapterSlots: 3,
      batchSize: 8,
      kvCapacityTokens: 100_000,
      weightsMb: 100,
      models: [{
        name: "m",
        weightsMb: 100,
        adapterCount: 9,
        loadMs: MODEL_LOAD_MS,
      }],
    },
    termMs: TERM_MS,
    drawFence: () => 1,
  });
}

/** Carries out the effects at once: the engine answers without delay. */
function carryOut(
  daemon: string,
  owner: EngineOwner,
  engine: EmptyEngine,
  effects: readonly EngineOwnerEffect[],
  now: number,
): void {
  for (const effect of effects) {
    if (effect.kind === "readReport") {
      owner.recordReport({
        sequence: engine.sequence,
        bornAtUnixMs: 1 + engine.bornAt,
        ageMs: now - engine.bornAt,
        readAt: now,
        models: engine.hasModel ? ["m"] : [],
        adapters: new Map(),
      }, now);
    } else if (effect.kind === "giveOrder") {
      const isModel = effect.order.adapter === "";
      const isConfirmed = isModel && engine.sequence > 0;
      const isAccepted = isConfirmed ||
        effect.expectedSequence === engine.sequence;
      if (isAccepted) {
        if (!isConfirmed) engine.sequence += 1;
        engine.hasModel = true;
        engine.orders.push({ daemon, at: now });
      }
      owner.recordOrderAnswer(
        { kind: isAccepted ? "accepted" : "conflict" },
        now,
      );
    }
  }
}

/** Lets the owners act from one time to another, one request each a step. */
function play(
  owners: Record<string, EngineOwner>,
  engine: EmptyEngine,
  from: number,
  to: number,
): void {
  for (let now = from; now < to; now += STEP_MS) {
    for (const [daemon, owner] of Object.entries(owners)) {
      if (owner.isOwner()) {
        owner.requestPermit({
          permitId: `${daemon} ${now}`,
          holder: "entry",
          model: "m",
          adapter: "a",
          adapterPath: "m/a",
          version: undefined,
          priorityRank: 0,
          promptTokens: 10,
          outputTokens: 10,
          promptParts: [],
          patienceMs: 500,
          firstTokenBudgetMs: 1_000,
          lifetimeMs: 500,
          isLastChoice: true,
        }, now);
      }
      carryOut(daemon, owner, engine, owner.tick(CONTEXT, now), now);
    }
  }
}

/** Lets a daemon observe the engine that it does not seek to own yet. */
function readReport(
  daemon: string,
  owner: EngineOwner,
  engine: EmptyEngine,
  now: number,
): void {
  const observing = { ...CONTEXT, isDesiredOwner: false };
  carryOut(daemon, owner, engine, owner.tick(observing, now), now);
}

/** Returns the orders of daemons that took turns within a term. */
function listAlternations(engine: EmptyEngine) {
  return engine.orders.filter((order, index) => {
    const earlier = engine.orders.slice(0, index);
    return earlier.at(-1)?.daemon !== order.daemon &&
      earlier.some((each) =>
        each.daemon === order.daemon && order.at - each.at < TERM_MS
      );
  });
}

test("the former owner of a restarted engine and a daemon with a majority do not both order it", () => {
  const engine = new EmptyEngine();
  const former = createOwner("former");
  const other = createOwner("other");
  play({ former }, engine, 0, 3_500);
  engine.restart(5_000);
  former.recordRegistration(1 + engine.bornAt);
  const before = engine.orders.length;
  play({ former }, engine, 5_000, 5_320);
  // The other reads the report before the former owner orders.
  readReport("other", other, engine, 5_320);
  play({ former, other }, engine, 5_320, 14_000);
  assert.is(engine.orders[before]?.daemon, "former", "it continues");
  assert.equal(listAlternations(engine), []);
});

test("two daemons that each hear a majority do not take turns on a new engine", () => {
  const engine = new EmptyEngine();
  const first = createOwner("former");
  const second = createOwner("other");
  const readAt = 20;
  // Both read the report before either orders.
  readReport("former", first, engine, readAt);
  readReport("other", second, engine, readAt);
  play({ former: first, other: second }, engine, 40, 12_000);
  assert.ok(engine.orders.length > 0);
  assert.equal(listAlternations(engine), []);
});

test("a daemon that loaded a base model without proof does not order the engine again soon after it restarts", () => {
  const engine = new EmptyEngine();
  const first = createOwner("former");
  play({ former: first }, engine, 0, 40);
  assert.is(engine.orders.length, 1);
  engine.orders.push({ daemon: "other", at: 60 });
  engine.restart(1_600);
  first.recordRegistration(1 + engine.bornAt);
  play({ former: first }, engine, 1_600, 12_000);
  assert.ok(engine.orders.length > 2, "it orders the engine later");
  assert.equal(listAlternations(engine), []);
});

test.run();
