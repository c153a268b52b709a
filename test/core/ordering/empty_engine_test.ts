/**
 * Daemons that each may load the base model of an empty engine, which confirms
 * that order to all of them: their orders do not alternate within a term.
 */
import { buildEngineLimits, FETCH_SHARE } from "./engine_owner_builder.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwner,
  type EngineOwnerEffect,
  type OwnershipContext,
} from "../../../src/core/ordering/engine_owner.ts";

import {
  CONTESTED_WINDOW_MS,
  EngineOwnership,
  OrderEvidence,
  REPORT_LAG_MS,
} from "../../../src/core/ordering/engine_ownership.ts";

const TERM_MS = 3_000;
/** Time for which a heartbeat may wait in the socket of a slow host. */
const HEARTBEAT_QUEUE_MS = 700;
const MODEL_LOAD_MS = 2_900;
/** Time that an order takes on the network at most. */
const ORDER_DELAY_MS = 100;
const STEP_MS = 20;

const CONTEXT: OwnershipContext = {
  isDesiredOwner: true,
  isCandidate: true,
  hasQuorum: true,
  isIsolated: false,
  isUnowned: false,
  isDisclaimed: false,
  peers: undefined,
  fetchShare: FETCH_SHARE,
};

/** Inputs of a daemon to which all others say that they do not own the engine. */
const DISCLAIMED: OwnershipContext = { ...CONTEXT, isDisclaimed: true };

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
    hostOrdinal: 1,
    engineId: "engine",
    listClaimants: () => ["former", "other"],
    selectOwnAdapter: () => `own-${selfId}`,
    isClockSteady: () => true,
    limits: buildEngineLimits(MODEL_LOAD_MS),
    termMs: TERM_MS,
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
  context = CONTEXT,
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
      carryOut(daemon, owner, engine, owner.tick(context, now), now);
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
  const owners = { former: first, other: second };
  play(owners, engine, 40, 60, DISCLAIMED);
  play(owners, engine, 60, 12_000);
  assert.equal(
    engine.orders.slice(0, 2).map(({ daemon }) => daemon),
    ["former", "other"],
  );
  assert.equal(listAlternations(engine), []);
});

/**
 * Lets two daemons claim an engine after its restart, the second so much later,
 * from reports that do not show the first one's load yet.
 */
function playLateReports(claimDelayMs: number): EmptyEngine {
  const restartedAt = 6_400;
  const claimsAt = 7_200;
  const engine = new EmptyEngine();
  engine.restart(restartedAt);
  const before = new EmptyEngine();
  before.restart(restartedAt);
  const first = createOwner("former");
  const second = createOwner("other");
  for (let now = 6_900; now < claimsAt; now += STEP_MS) {
    readReport("former", first, engine, now);
    readReport("other", second, before, now);
  }
  for (let now = claimsAt; now < 20_000; now += STEP_MS) {
    play({ former: first }, engine, now, now + STEP_MS, {
      ...CONTEXT,
      isDisclaimed: !first.hasRecentContestedOrder(now),
    });
    const loadedAt = engine.orders[0]?.at ?? now;
    const isDesiredOwner = now >= claimsAt + claimDelayMs;
    const shown = now < loadedAt + REPORT_LAG_MS ? before : engine;
    const isDisclaimed = !second.hasRecentContestedOrder(now);
    const context = { ...CONTEXT, isDesiredOwner, isDisclaimed };
    const effects = second.tick(context, now);
    const reads = effects.filter((effect) => effect.kind === "readReport");
    const others = effects.filter((effect) => effect.kind !== "readReport");
    carryOut("other", second, shown, reads, now);
    carryOut("other", second, engine, others, now);
  }
  return engine;
}

test("hosts that load a restarted engine's base model within a second do not take turns when it is loaded", () => {
  const gaps: number[] = [];
  for (let delayMs = 0; delayMs <= 1_000; delayMs += STEP_MS) {
    const engine = playLateReports(delayMs);
    assert.equal(listAlternations(engine), [], `claimed ${delayMs} ms later`);
    const [load, next] = engine.orders;
    assert.ok(load && next, "the engine is ordered again");
    if (next.daemon !== load.daemon) gaps.push(next.at - load.at);
  }
  assert.ok(gaps.some((gapMs) => gapMs >= 800 && gapMs < 1_000), `${gaps}`);
});

/** Returns when a daemon that claims an engine loads its base model. */
function findModelLoad(daemon: string, claimedAt: number) {
  const engine = new EmptyEngine();
  const owner = createOwner(daemon);
  for (let now = claimedAt; now < claimedAt + TERM_MS; now += STEP_MS) {
    const effects = owner.tick(DISCLAIMED, now);
    const load = effects.find((effect) => effect.kind === "giveOrder");
    if (load) return { at: now, fence: load.fence };
    carryOut(daemon, owner, engine, effects, now);
  }
  throw new Error("not loaded within a term");
}

test("the load orders of claimants that do not hear each other do not overtake each other", () => {
  for (let delayMs = 0; delayMs <= 1_500; delayMs += 10) {
    const [earlier, later] = [
      findModelLoad("former", 2_000 + delayMs),
      findModelLoad("other", 2_000),
    ].sort((a, b) => a.at - b.at);
    assert.ok(earlier && later);
    assert.ok(later.at - earlier.at >= ORDER_DELAY_MS, `${delayMs} ms later`);
    assert.ok(later.fence > earlier.fence);
  }
});

test("a daemon that loaded a base model without proof does not order the engine again soon after it restarts", () => {
  const engine = new EmptyEngine();
  const first = createOwner("former");
  play({ former: first }, engine, 0, 40, DISCLAIMED);
  assert.is(engine.orders.length, 1);
  engine.orders.push({ daemon: "other", at: 60 });
  engine.restart(1_600);
  first.recordRegistration(1 + engine.bornAt);
  play({ former: first }, engine, 1_600, 12_000);
  assert.ok(engine.orders.length > 2, "it orders the engine later");
  assert.equal(listAlternations(engine), []);
});

test("the rest after an inconclusive load ends once all others say that they did not send it, and then the load proves the ownership", () => {
  const ownership = new EngineOwnership({ termMs: TERM_MS });
  ownership.recordReport(
    { sequence: 0, bornAtUnixMs: 1, ageMs: 100, readAt: 0 },
    0,
  );
  assert.ok(ownership.claim(DISCLAIMED, 10));
  assert.is(
    ownership.getDisclaimerRequirements(15)?.since,
    -100,
    "the engine's start",
  );
  ownership.recordContestedOrder(20);
  assert.ok(ownership.hasRecentContestedOrder(25), "before the answer too");
  ownership.recordOrderAnswer(
    { kind: "accepted" },
    OrderEvidence.Inconclusive,
    20,
    50,
  );
  assert.equal(ownership.getDisclaimerRequirements(60), {
    since: 50 + CONTESTED_WINDOW_MS + HEARTBEAT_QUEUE_MS,
    sameProcessSince: 50,
  });
  assert.is(ownership.getExpectedSequence(TERM_MS), undefined);
  assert.not(ownership.isExclusive(2_000));
  assert.ok(ownership.endRest(2_000));
  assert.is(ownership.getExpectedSequence(2_000), 1);
  assert.ok(ownership.isExclusive(2_000));
  assert.not(ownership.isExclusive(20 + TERM_MS), "counted from the order");
});

test("a daemon that claimed an engine without ordering it leaves it to its former owner when it restarts", () => {
  const engine = new EmptyEngine();
  const former = createOwner("former");
  const other = createOwner("other");
  play({ former }, engine, 0, 3_300, DISCLAIMED);
  const before = engine.orders.length;
  readReport("other", other, engine, 3_300);
  for (const now of [6_620, 6_640]) {
    carryOut("other", other, engine, other.tick(CONTEXT, now), now);
  }
  assert.ok(other.isOwner(), "it has observed the engine for a term");
  engine.restart(7_000);
  for (const owner of [former, other]) {
    owner.recordRegistration(1 + engine.bornAt);
  }
  play({ former, other }, engine, 7_000, 14_000);
  assert.is(engine.orders[before]?.daemon, "former");
  assert.equal(listAlternations(engine), []);
});

test("a daemon that loses the engine before its inconclusive order is answered reports that order, and rests", () => {
  const ownership = new EngineOwnership({ termMs: TERM_MS });
  const report = { sequence: 0, bornAtUnixMs: 1, ageMs: 100, readAt: 0 };
  ownership.recordReport(report, 0);
  assert.ok(ownership.claim(DISCLAIMED, 10));
  ownership.recordContestedOrder(20);
  ownership.release();
  assert.ok(ownership.hasRecentContestedOrder(30));
  ownership.recordReport({ ...report, readAt: 40 }, 40);
  assert.ok(ownership.claim(DISCLAIMED, 45));
  assert.is(ownership.getExpectedSequence(TERM_MS), undefined);
  ownership.recordOrderAnswer(
    { kind: "notSent", detail: "" },
    OrderEvidence.Inconclusive,
    20,
    50,
  );
  assert.not(ownership.hasRecentContestedOrder(60));
});

test.run();
