/**
 * Which engines a daemon owns or observes: at first those of its failure
 * domain, later those for which it ranks first; an owner keeps its engine while
 * it is alive.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetView } from "../../../src/core/fleet/fleet_view.ts";
import { OwnerRoles } from "../../../src/core/ordering/owner_roles.ts";
import { buildHeartbeat } from "../fleet/heartbeat_builder.ts";

const SELF = { id: "self", ip: "10.0.0.1", failureDomain: "a" };
const PEER = { id: "peer", ip: "10.0.0.2", failureDomain: "a" };
const FETCH_SHARE = {
  fleetFetches: 0,
  fetchLimit: 8,
  canFetch: true,
  isAtMinConcurrency: true,
  fetchesPerEngine: 1,
  isAtHostShare: false,
};
const STARTED_MS = 3_000;

function createRoles() {
  const fleet = new FleetView(SELF);
  const roles = new OwnerRoles({ fleet, seedIps: [], startedAt: 0 });
  const describe = (
    engine: { id: string; failureDomain: string } | undefined,
    now: number,
    part: { isOwner?: boolean; isStopping?: boolean } = {},
  ) =>
    roles.describeContext({
      engine,
      owner: {
        engineId: engine?.id ?? "gone",
        isOwner: () => part.isOwner ?? false,
        observedAt: undefined,
        getDisclaimerRequirements: () => undefined,
        hasRecentContestedOrder: () => false,
      },
      fetchShare: FETCH_SHARE,
      isStopping: part.isStopping ?? false,
    }, now);
  return { fleet, roles, describe };
}

/** Finds an engine that this daemon, or its peer, should own. */
function findEngine(fleet: FleetView, isOwn: boolean, now: number) {
  for (let index = 0; index < 100; index += 1) {
    const engine = { id: `e${index}`, failureDomain: "a" };
    const [first] = fleet.rankOwners(engine, false, now);
    if ((first?.id === SELF.id) === isOwn) return engine;
  }
  throw new Error("expected an engine of each rank among 100");
}

test("right after the start engines of the own failure domain are observed, and none is claimed", () => {
  const { describe } = createRoles();
  const local = describe({ id: "e", failureDomain: "a" }, 100);
  assert.ok(local.isCandidate);
  assert.not(local.isDesiredOwner);
  assert.not(local.fetchShare.canFetch);
  assert.not(describe({ id: "e", failureDomain: "b" }, 100).isCandidate);
});

test("an engine that is already owned right after the start is loaded at once", () => {
  const { describe } = createRoles();
  const engine = { id: "e", failureDomain: "a" };
  const held = describe(engine, 1_100, { isOwner: true });
  assert.ok(held.isDesiredOwner && held.fetchShare.canFetch);
});

test("later the ranking decides, and the first two daemons observe an engine without an owner", () => {
  const { fleet, describe } = createRoles();
  fleet.recordHeartbeat(buildHeartbeat(PEER), STARTED_MS);
  const own = describe(findEngine(fleet, true, STARTED_MS), STARTED_MS);
  assert.ok(own.isDesiredOwner && own.isCandidate && own.hasQuorum);
  const other = describe(findEngine(fleet, false, STARTED_MS), STARTED_MS);
  assert.not(other.isDesiredOwner);
  assert.ok(other.isCandidate);
});

test("an owner that does not rank first keeps the engine until the first one owns it too", () => {
  const { fleet, describe } = createRoles();
  fleet.recordHeartbeat(buildHeartbeat(PEER), STARTED_MS);
  const engine = findEngine(fleet, false, STARTED_MS);
  assert.ok(describe(engine, STARTED_MS, { isOwner: true }).isDesiredOwner);
  const heldEngines = [engine.id];
  fleet.recordHeartbeat(
    buildHeartbeat(PEER, { beat: 2, incarnation: "2", heldEngines }),
    STARTED_MS + 200,
  );
  const later = describe(engine, STARTED_MS + 400, { isOwner: true });
  assert.not(later.isDesiredOwner);
});

test("a daemon that stops is no candidate, and an engine that is gone has none", () => {
  const { describe } = createRoles();
  const engine = { id: "e", failureDomain: "a" };
  assert.not(describe(engine, STARTED_MS, { isStopping: true }).isCandidate);
  assert.not(describe(undefined, STARTED_MS).isCandidate);
});

test("engines owned soon after the start are reported for a while", () => {
  const { roles } = createRoles();
  const owner = {
    engineId: "e",
    isOwner: () => true,
    observedAt: 0,
    getDisclaimerRequirements: () => undefined,
    hasRecentContestedOrder: () => false,
  };
  roles.recordOwned(owner, 5_000);
  assert.equal(roles.listOwnedSinceStart(5_001), ["e"]);
  assert.is(roles.listOwnedSinceStart(15_000), undefined);
});

test.run();
