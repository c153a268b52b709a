import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  rankUpstreams,
  type UpstreamCandidate,
} from "../../../src/core/routing/upstream_selector.ts";
import type { UpstreamDigest } from "../../../src/core/messages.ts";
import type { PoolStructure } from "../../../src/core/structures.ts";

const ADAPTER = "salmon@1";
const POOL: PoolStructure = {
  name: "writers",
  kind: "engine",
  service: "brief-writer",
  baseModel: "base",
  failureDomains: ["a", "b"],
  slots: 4,
  batchSize: 8,
  fencing: "checked",
  loadStallWeight: 1,
  batchEfficiencyWeight: 1,
};

function createCandidate(
  id: string,
  digest: Partial<UpstreamDigest> = {},
): UpstreamCandidate {
  return {
    host: {
      id,
      address: id,
      failureDomain: "a",
      role: "upstream",
      service: "brief-writer",
      state: "live",
    },
    ownerId: "entry-1",
    digest: {
      upstreamId: id,
      residents: [],
      loading: [],
      creditsInUse: 0,
      waiting: 0,
      victimValue: 0,
      leaving: false,
      up: true,
      ...digest,
    },
    localCredits: 0,
  };
}

function rankIds(
  candidates: UpstreamCandidate[],
  pool: Partial<PoolStructure> = {},
): string[] {
  return rankUpstreams(candidates, {
    pool: { ...POOL, ...pool },
    adapterKey: ADAPTER,
    failureDomain: "a",
  }).map(({ candidate }) => candidate.host.id);
}

test("an upstream with the adapter ranks before one that is loading it, and that before others", () => {
  assert.equal(
    rankIds([
      createCandidate("absent"),
      createCandidate("loading", { loading: [ADAPTER] }),
      createCandidate("resident", { residents: [ADAPTER], creditsInUse: 6 }),
    ]),
    ["resident", "loading", "absent"],
  );
});

test("an upstream without the adapter ranks first when waiting costs more than a load", () => {
  const resident = createCandidate("resident", {
    residents: [ADAPTER],
    creditsInUse: 8,
    waiting: 12,
  });
  assert.is(rankIds([resident, createCandidate("empty")])[0], "empty");
  const costly = createCandidate("costly", { victimValue: 500 });
  assert.is(rankIds([resident, costly])[0], "resident");
});

test("an adapter that is not loaded goes to the upstream whose victim has the lowest value", () => {
  assert.is(
    rankIds([
      createCandidate("dear", { victimValue: 8 }),
      createCandidate("cheap", { victimValue: 1, creditsInUse: 3 }),
    ])[0],
    "cheap",
  );
});

const FULLER = createCandidate("fuller", {
  residents: [ADAPTER],
  creditsInUse: 4,
});
const EMPTIER = createCandidate("emptier", { residents: [ADAPTER] });

test("runs are packed if batch efficiency has more weight, and spread if load stalls have", () => {
  const packs = { loadStallWeight: 1, batchEfficiencyWeight: 3 };
  const spreads = { loadStallWeight: 3, batchEfficiencyWeight: 1 };
  assert.is(rankIds([FULLER, EMPTIER], packs)[0], "fuller");
  assert.is(rankIds([FULLER, EMPTIER], spreads)[0], "emptier");
});

test("runs are not packed beyond three quarters of a batch", () => {
  const full = createCandidate("full", {
    residents: [ADAPTER],
    creditsInUse: 8,
  });
  const packs = { loadStallWeight: 0, batchEfficiencyWeight: 1 };
  assert.is(rankIds([full, EMPTIER], packs)[0], "emptier");
});

test.run();
