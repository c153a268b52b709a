/**
 * `bench decide`: measures the processor time and message bytes of single
 * decisions at growing numbers of adapters, upstreams and peers.
 */
import { encodeEnvelope } from "../../src/protocol/peer_codec.ts";
import type { PeerMessage } from "../../src/core/messages.ts";
import { ControlFleet, type FleetNode } from "../control/control_fleet.ts";
import {
  createHosts,
  createTables,
  type FleetSizes,
} from "../control/fleet_tables.ts";
import { computeSlope } from "../control/slope.ts";
import type { Subcommand } from "../subcommand.ts";

const SETTLE_MS = 6_000;
const REPEATS = 2_000;
const WARM_UP_RUNS = 500;
const RESIDENTS_PER_UPSTREAM = 16;

/**
 * Sizes at scale 1: one failure domain with its daemons, upstreams and
 * adapters.
 */
const BASE_SIZES = { daemons: 2, upstreams: 10, adapters: 640 };

interface DecideRow {
  scale: number;
  daemons: number;
  upstreams: number;
  adapters: number;
  arrivalUs: number;
  leaseRequestUs: number;
  leaseBytes: number;
  ownerLookupUs: number;
  ownerAfterChangeUs: number;
  idleTickUs: number;
}

export const decideCommand: Subcommand = {
  name: "decide",
  description: "Microseconds and bytes of a decision at growing sizes.",
  options: [
    { flags: "--scales", description: "Factors", value: "1,10,100" },
    { flags: "--json", description: "Print JSON" },
  ],
  run(options) {
    const rows = String(options["scales"]).split(",").map(Number)
      .map(measureDecisions);
    const slopes = Object.fromEntries(
      ([
        "arrivalUs",
        "leaseRequestUs",
        "ownerLookupUs",
        "ownerAfterChangeUs",
        "idleTickUs",
      ] as const).map((
        name,
      ) => [
        `${name}PerScale`,
        computeSlope(rows.map((row) => [row.scale, row[name]])),
      ]),
    );
    if (options["json"]) console.log(JSON.stringify({ rows, slopes }));
    else {
      console.table(rows);
      console.table(slopes);
    }
  },
};

function measureDecisions(scale: number): DecideRow {
  const daemons = Math.min(82, BASE_SIZES.daemons * scale);
  const sizes: FleetSizes = {
    domains: 1,
    daemonsPerDomain: daemons,
    upstreamsPerDomain: BASE_SIZES.upstreams * scale,
    pools: scale === 1 ? 1 : 6,
    routes: BASE_SIZES.adapters * scale,
  };
  const fleet = startFleet(sizes);
  const node = fleet.getNode("entry-0-0");
  const upstreamIds = [...fleet.upstreams.keys()];
  const arrivals = measureArrivals(fleet, node, sizes.routes);
  const leaseFigures = measureLeases(fleet, upstreamIds);
  return {
    scale,
    daemons,
    upstreams: sizes.upstreamsPerDomain,
    adapters: sizes.routes,
    arrivalUs: arrivals,
    ...leaseFigures,
    ownerLookupUs: measureOwnerLookups(node, upstreamIds),
    ownerAfterChangeUs: measureOwnerChange(fleet, node, upstreamIds),
    idleTickUs: measureTicks(fleet, node),
  };
}

function startFleet(sizes: FleetSizes): ControlFleet {
  const fleet = new ControlFleet({
    hosts: createHosts(sizes),
    settings: { maxRequests: 1_000_000 },
  });
  fleet.tables = createTables(sizes, 2);
  const ids = [...fleet.upstreams.keys()];
  for (const [index, id] of ids.entries()) {
    const state = fleet.upstreams.get(id);
    if (!state) continue;
    fleet.upstreams.set(id, {
      ...state,
      residents: Array.from({ length: RESIDENTS_PER_UPSTREAM }, (_, slot) => ({
        adapterKey: `adapter-${(index + slot * ids.length) % sizes.routes}@v1`,
        inFlight: 0,
      })),
    });
  }
  fleet.run(SETTLE_MS);
  return fleet;
}

/**
 * Measures handling a request's arrival, up to its lease request, and its
 * cancellation by the caller.
 */
function measureArrivals(
  fleet: ControlFleet,
  node: FleetNode,
  routes: number,
): number {
  const handleArrival = (index: number): void => {
    const requestId = `r${index}`;
    node.core.handle({
      kind: "requestArrived",
      requestId,
      customer: "derwent",
      route: `route-${(index * 7) % Math.min(routes, 160)}`,
      fingerprint: requestId,
      sharedParts: [],
    }, fleet.now);
    node.core.handle({ kind: "callerGone", requestId }, fleet.now);
  };
  return measureMicroseconds(handleArrival);
}

/**
 * Measures a lease request and the return of the granted credit, at the owner
 * of an upstream that has the adapter resident.
 */
function measureLeases(
  fleet: ControlFleet,
  upstreamIds: readonly string[],
): Pick<DecideRow, "leaseRequestUs" | "leaseBytes"> {
  const [upstreamId = ""] = upstreamIds;
  const owner = fleet.listNodes().find((node) =>
    node.core.describe(fleet.now).upstreams.some((upstream) =>
      upstream.upstreamId === upstreamId
    )
  );
  const adapterKey = fleet.upstreams.get(upstreamId)?.residents[0]?.adapterKey;
  if (!owner || adapterKey === undefined) {
    throw new Error(`Expected an owner of ${upstreamId}, found none`);
  }
  let leaseBytes = 0;
  const requestLease = (index: number): void => {
    const request: PeerMessage = {
      kind: "leaseRequest",
      leaseRequestId: `l${index}`,
      upstreamId,
      adapterKey,
      credits: 1,
      priorityRank: 1,
      customer: "derwent",
      remainingMs: 1_000,
      maxRunMs: 60_000,
      exclusive: false,
      isCopy: false,
      sentAtMs: fleet.now,
    };
    const effects = owner.core.handle({
      kind: "peerMessage",
      from: "entry-x",
      message: request,
    }, fleet.now);
    for (const effect of effects) {
      if (effect.kind !== "send" || effect.message.kind !== "leaseGrant") {
        continue;
      }
      const { leaseId } = effect.message;
      const leaseReturn: PeerMessage = {
        kind: "leaseReturn",
        leaseId,
        upstreamId,
        returnedCredits: 1,
      };
      leaseBytes = [request, effect.message, leaseReturn].reduce(
        (sum, message) =>
          sum +
          encodeEnvelope({ from: owner.host.id, messages: [message] }).length,
        0,
      );
      owner.core.handle({
        kind: "peerMessage",
        from: "entry-x",
        message: leaseReturn,
      }, fleet.now);
    }
  };
  return { leaseRequestUs: measureMicroseconds(requestLease), leaseBytes };
}

function measureOwnerLookups(
  node: FleetNode,
  upstreamIds: readonly string[],
): number {
  return measureMicroseconds((index) => {
    node.core.getOwnerId(upstreamIds[index % upstreamIds.length] ?? "");
  });
}

/**
 * Measures the first owner lookup of each upstream after a peer has died, when
 * every owner has to be computed anew.
 */
function measureOwnerChange(
  fleet: ControlFleet,
  node: FleetNode,
  upstreamIds: readonly string[],
): number {
  const stoppedNode = fleet.listNodes().at(-1);
  if (!stoppedNode || stoppedNode === node) return 0;
  const peerCount = fleet.listNodes().length;
  stoppedNode.isAlive = false;
  fleet.runUntil(
    () =>
      node.core.describe(fleet.now).peers.filter((peer) => peer.live).length <
        peerCount - 1,
    10_000,
  );
  const startedAt = performance.now();
  for (const id of upstreamIds) node.core.getOwnerId(id);
  return Number(((performance.now() - startedAt) * 1_000).toFixed(0));
}

function measureTicks(fleet: ControlFleet, node: FleetNode): number {
  return measureMicroseconds(() => {
    node.core.handle({ kind: "tick" }, fleet.now);
  });
}

function measureMicroseconds(run: (index: number) => void): number {
  for (let index = 0; index < WARM_UP_RUNS; index += 1) run(index);
  const startedAt = performance.now();
  for (let index = 0; index < REPEATS; index += 1) run(WARM_UP_RUNS + index);
  const ms = performance.now() - startedAt;
  return Number((ms * 1_000 / REPEATS).toFixed(2));
}
