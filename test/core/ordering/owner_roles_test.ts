/** Which engines a daemon holds or observes: nearby ones at first, then by rank, kept while it lives. */
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
const SETTLED_MS = 3_000;

function createRoles() {
  const fleet = new FleetView(SELF);
  const roles = new OwnerRoles({ fleet, seedIps: [], startedAt: 0 });
  const describe = (
    engine: { id: string; failureDomain: string } | undefined,
    now: number,
    part: { isHolding?: boolean; isStopping?: boolean } = {},
  ) =>
    roles.describeContext({
      engine,
      holder: {
        engineId: engine?.id ?? "gone",
        isOwner: () => part.isHolding ?? false,
        observedAt: undefined,
      },
      fetchShare: FETCH_SHARE,
      isStopping: part.isStopping ?? false,
    }, now);
  return { fleet, roles, describe };
}

/** Finds an engine that the daemon should hold, or not, of two that are heard. */
function findEngine(fleet: FleetView, isOwn: boolean, now: number) {
  for (let index = 0; index < 100; index += 1) {
    const engine = { id: `e${index}`, failureDomain: "a" };
    const [first] = fleet.rankOwners(engine, false, now);
    if ((first?.id === SELF.id) === isOwn) return engine;
  }
  throw new Error("expected an engine of each rank among 100");
}

test("right after the start engines nearby are observed, and none is claimed", () => {
  const { describe } = createRoles();
  const near = describe({ id: "e", failureDomain: "a" }, 100);
  assert.ok(near.isCandidate);
  assert.not(near.isDesiredOwner);
  assert.not(near.fetchShare.canFetch);
  assert.not(describe({ id: "e", failureDomain: "b" }, 100).isCandidate);
});

test("an engine that is held already right after the start is loaded at once", () => {
  const { describe } = createRoles();
  const engine = { id: "e", failureDomain: "a" };
  const held = describe(engine, 1_100, { isHolding: true });
  assert.ok(held.isDesiredOwner && held.fetchShare.canFetch);
});

test("later the ranking decides, and both first observe what nobody holds", () => {
  const { fleet, describe } = createRoles();
  fleet.recordHeartbeat(buildHeartbeat(PEER), SETTLED_MS);
  const own = describe(findEngine(fleet, true, SETTLED_MS), SETTLED_MS);
  assert.ok(own.isDesiredOwner && own.isCandidate && own.hasQuorum);
  const other = describe(findEngine(fleet, false, SETTLED_MS), SETTLED_MS);
  assert.not(other.isDesiredOwner);
  assert.ok(other.isCandidate);
});

test("a holder keeps what it should not hold, until the preferred one holds it too", () => {
  const { fleet, describe } = createRoles();
  fleet.recordHeartbeat(buildHeartbeat(PEER), SETTLED_MS);
  const engine = findEngine(fleet, false, SETTLED_MS);
  assert.ok(describe(engine, SETTLED_MS, { isHolding: true }).isDesiredOwner);
  const heldEngines = [engine.id];
  fleet.recordHeartbeat(
    buildHeartbeat(PEER, { beat: 2, incarnation: "2", heldEngines }),
    SETTLED_MS + 200,
  );
  const later = describe(engine, SETTLED_MS + 400, { isHolding: true });
  assert.not(later.isDesiredOwner);
});

test("a daemon that stops, and an engine that is gone, are no candidates", () => {
  const { describe } = createRoles();
  const engine = { id: "e", failureDomain: "a" };
  assert.not(describe(engine, SETTLED_MS, { isStopping: true }).isCandidate);
  assert.not(describe(undefined, SETTLED_MS).isCandidate);
});

test("what was held soon after the start is told for a while", () => {
  const { roles } = createRoles();
  const holder = { engineId: "e", isOwner: () => true, observedAt: 0 };
  roles.recordOwned(holder, 5_000);
  assert.equal(roles.listOwnedSinceStart(5_001), ["e"]);
  assert.is(roles.listOwnedSinceStart(15_000), undefined);
});

test.run();
