/** An owner that is suspended while an order or a report is under way. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwner,
  type EngineOwnerEffect,
} from "../../../src/core/ordering/engine_owner.ts";

const TERM_MS = 3_000;
const CLAIMED_AT = TERM_MS + 400;
const REPORT = {
  sequence: 5,
  bornAtUnixMs: 1_000,
  ageMs: 60_000,
  models: ["m"],
  adapters: new Map<string, { version: number; isLoading: boolean }>(),
};
const CONTEXT = {
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

/** Creates a daemon that has read an engine's report a term ago. */
function createObserver(): EngineOwner {
  const owner = new EngineOwner({
    selfId: "host-1",
    engineId: "engine",
    listClaimants: () => ["host-1", "host-2"],
    limits: {
      adapterSlots: 3,
      batchSize: 8,
      kvCapacityTokens: 100_000,
      weightsMb: 100,
      models: [{ name: "m", weightsMb: 100, adapterCount: 9, loadMs: 600 }],
    },
    termMs: TERM_MS,
    selectOwnAdapter: () => "own",
    isClockSteady: () => true,
    drawFence: () => 1,
  });
  owner.recordReport({ ...REPORT, readAt: 0 }, 10);
  return owner;
}

function requestAdapter(
  owner: EngineOwner,
  adapter: string,
  now: number,
): void {
  owner.requestPermit({
    permitId: adapter,
    holder: "host-1",
    model: "m",
    adapter,
    adapterPath: `m/${adapter}`,
    version: undefined,
    priorityRank: 0,
    promptTokens: 10,
    outputTokens: 10,
    promptParts: [],
    patienceMs: 5_000,
    firstTokenBudgetMs: 5_000,
    lifetimeMs: 500,
    isLastChoice: true,
  }, now);
}

function listKinds(effects: readonly EngineOwnerEffect[]): string[] {
  return effects.map((effect) => effect.kind);
}

test("an order that was under way during a suspension does not prove ownership once it is answered", () => {
  const owner = createObserver();
  owner.recordReport({ ...REPORT, readAt: CLAIMED_AT }, CLAIMED_AT);
  owner.tick(CONTEXT, CLAIMED_AT);
  requestAdapter(owner, "a1", CLAIMED_AT);
  assert.ok(
    listKinds(owner.tick(CONTEXT, CLAIMED_AT + 10)).includes("giveOrder"),
  );
  owner.recordPause(CLAIMED_AT + 20);
  owner.recordOrderAnswer({ kind: "accepted" }, CLAIMED_AT + 30);
  requestAdapter(owner, "a2", CLAIMED_AT + 40);
  const effects = owner.tick(CONTEXT, CLAIMED_AT + 40);
  assert.not(
    listKinds(effects).includes("giveOrder"),
    "another daemon may have ordered during the suspension",
  );
});

test("a report that was requested before a suspension confirms nothing after it", () => {
  const owner = createObserver();
  owner.recordPause(CLAIMED_AT + 20);
  owner.recordReport({ ...REPORT, readAt: CLAIMED_AT }, CLAIMED_AT + 30);
  owner.tick(CONTEXT, CLAIMED_AT + 40);
  assert.not(owner.isOwner(), "another daemon may have ordered since");
  owner.recordReport({ ...REPORT, readAt: CLAIMED_AT + 50 }, CLAIMED_AT + 60);
  owner.tick(CONTEXT, CLAIMED_AT + 70);
  assert.ok(owner.isOwner());
});

test.run();
