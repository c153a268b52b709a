/**
 * Runs the cores of many daemons against each other, with dead and paused
 * daemons, network partitions, and messages that are lost, delayed, duplicated
 * or reordered.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  ControlFleet,
  type ControlFleetOptions,
} from "../../../bench/control/control_fleet.ts";
import {
  createHosts,
  createTables,
  editTables,
  formatDomain,
} from "../../../bench/control/fleet_tables.ts";
import { SplitMix } from "./split_mix.ts";

const FOUR_DOMAINS = {
  domains: 4,
  daemonsPerDomain: 2,
  upstreamsPerDomain: 4,
  pools: 2,
  routes: 10,
};
const ONE_DOMAIN = { ...FOUR_DOMAINS, domains: 1, daemonsPerDomain: 9 };

function startFleet(
  sizes: typeof FOUR_DOMAINS,
  options: Omit<ControlFleetOptions, "hosts"> = {},
): ControlFleet {
  const fleet = new ControlFleet({ hosts: createHosts(sizes), ...options });
  fleet.tables = createTables(sizes, 2);
  fleet.run(6_000);
  return fleet;
}

/** Returns the peers in its failure domain that the observer considers live. */
function listLive(fleet: ControlFleet, observerId: string): string[] {
  const { core, host } = fleet.getNode(observerId);
  return core.describe(fleet.now).peers
    .filter((peer) => peer.failureDomain === host.failureDomain && peer.live)
    .map((peer) => peer.id);
}

function countOwners(fleet: ControlFleet): Map<string, number> {
  const owners = new Map<string, number>();
  for (const node of fleet.listNodes()) {
    if (!node.isAlive || node.isPaused) continue;
    for (const upstream of node.core.describe(fleet.now).upstreams) {
      const count = owners.get(upstream.upstreamId) ?? 0;
      owners.set(upstream.upstreamId, count + 1);
    }
  }
  return owners;
}

function isResidentInView(
  fleet: ControlFleet,
  observerId: string,
  upstreamId: string,
): boolean {
  return fleet.getNode(observerId).core.explainRoute("route-0", fleet.now)
    .some((ranked) =>
      ranked.candidate.host.id === upstreamId &&
      ranked.residency === "resident"
    );
}

function hasEveryDaemonRevision(
  fleet: ControlFleet,
  revision: number,
): boolean {
  return fleet.listNodes().every((node) =>
    !node.isAlive || node.isPaused ||
    node.core.getSnapshot()?.revision === revision
  );
}

test("every daemon serves and every upstream has one owner", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  for (const node of fleet.listNodes()) assert.is(node.core.state, "serving");
  const owners = countOwners(fleet);
  assert.is(owners.size, 16);
  assert.ok([...owners.values()].every((count) => count === 1));
});

test("a dead daemon is detected within two seconds and its upstreams get new owners", () => {
  for (const sizes of [FOUR_DOMAINS, ONE_DOMAIN]) {
    for (let offset = 0; offset < 5; offset += 1) {
      const fleet = startFleet(sizes);
      fleet.run(offset * 60);
      fleet.getNode("entry-0-0").isAlive = false;
      const detectedMs = fleet.runUntil(
        () => !listLive(fleet, "entry-0-1").includes("entry-0-0"),
        10_000,
      );
      assert.ok(detectedMs <= 2_200, `detected after ${detectedMs} ms`);
      fleet.run(500);
      const owners = countOwners(fleet);
      const all = sizes.domains * sizes.upstreamsPerDomain;
      assert.is(owners.size, all);
    }
  }
});

test("a short pause makes no daemon dead; after a long one, the paused daemon rejoins", () => {
  const fleet = startFleet(ONE_DOMAIN);
  const paused = fleet.getNode("entry-0-0");
  paused.isPaused = true;
  fleet.run(700);
  paused.isPaused = false;
  fleet.run(200);
  for (const node of fleet.listNodes()) {
    assert.is(listLive(fleet, node.host.id).length, 8);
  }
  paused.isPaused = true;
  fleet.run(5_000);
  assert.not.ok(listLive(fleet, "entry-0-1").includes("entry-0-0"));
  paused.isPaused = false;
  fleet.run(20);
  assert.is(paused.core.describe(fleet.now).upstreams.length, 0);
  const rejoinedMs = fleet.runUntil(
    () =>
      fleet.listNodes().every((node) =>
        listLive(fleet, node.host.id).length === 8
      ),
    10_000,
  );
  assert.ok(rejoinedMs <= 3_000, `rejoined after ${rejoinedMs} ms`);
  fleet.run(2_000);
  assert.ok([...countOwners(fleet).values()].every((count) => count === 1));
});

test("a restarted daemon is not mistaken for its previous run", () => {
  const fleet = startFleet(ONE_DOMAIN);
  const { host } = fleet.getNode("entry-0-0");
  fleet.getNode("entry-0-0").isAlive = false;
  fleet.run(300);
  fleet.startNode(host);
  fleet.run(4_000);
  for (const node of fleet.listNodes()) {
    assert.is(listLive(fleet, node.host.id).length, 8);
  }
  assert.ok([...countOwners(fleet).values()].every((count) => count === 1));
  assert.is(countOwners(fleet).size, 4);
});

test("a residency change reaches every daemon within 300 ms after the owner has read it", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  const state = fleet.upstreams.get("upstream-0-0");
  fleet.upstreams.set("upstream-0-0", {
    ...state!,
    residents: [{ adapterKey: "adapter-0@v1", inFlight: 0 }],
  });
  const owner = fleet.listNodes().find((node) =>
    node.core.describe(fleet.now).upstreams.some((upstream) =>
      upstream.upstreamId === "upstream-0-0"
    )
  );
  fleet.runUntil(
    () => isResidentInView(fleet, owner!.host.id, "upstream-0-0"),
    2_000,
  );
  const seenMs = fleet.runUntil(
    () =>
      fleet.listNodes().every((node) =>
        isResidentInView(fleet, node.host.id, "upstream-0-0")
      ),
    2_000,
  );
  assert.ok(seenMs <= 300, `seen after ${seenMs} ms`);
});

test("a one-way loss of connection between two daemons makes neither of them dead", () => {
  const fleet = startFleet(ONE_DOMAIN);
  fleet.intercept = (from, to) =>
    from === "entry-0-0" && to === "entry-0-1" ? [] : [1];
  for (let second = 0; second < 20; second += 1) {
    fleet.run(1_000);
    for (const node of fleet.listNodes()) {
      assert.is(listLive(fleet, node.host.id).length, 8, node.host.id);
    }
  }
});

test("a partitioned failure domain keeps serving and reconnects when the partition heals", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  const isOutside = (id: string): boolean => !id.startsWith("entry-0-");
  fleet.intercept = (from, to) => isOutside(from) === isOutside(to) ? [1] : [];
  fleet.run(4_000);
  const inside = fleet.getNode("entry-0-0").core;
  const seen = inside.explainRoute("route-0", fleet.now)
    .map((ranked) => ranked.candidate.host.failureDomain);
  assert.ok(seen.length > 0);
  assert.ok(seen.every((domain) => domain === formatDomain(0)));
  fleet.tables = editTables(fleet.tables!, 1);
  fleet.intercept = () => [1];
  fleet.run(4_000);
  const all = inside.explainRoute("route-0", fleet.now)
    .map((ranked) => ranked.candidate.host.failureDomain);
  assert.is(new Set(all).size, 4);
  assert.ok(hasEveryDaemonRevision(fleet, 3));
});

test("the halves of a partitioned failure domain merge when the partition heals", () => {
  const fleet = startFleet(ONE_DOMAIN);
  const isLeft = (id: string): boolean => Number(id.split("-")[2]) < 4;
  fleet.intercept = (from, to) => isLeft(from) === isLeft(to) ? [1] : [];
  fleet.run(5_000);
  assert.is(listLive(fleet, "entry-0-0").length, 3);
  assert.is(listLive(fleet, "entry-0-8").length, 4);
  fleet.intercept = () => [1];
  const healedMs = fleet.runUntil(
    () =>
      fleet.listNodes().every((node) =>
        listLive(fleet, node.host.id).length === 8
      ),
    20_000,
  );
  assert.ok(healedMs < 10_000, `healed after ${healedMs} ms`);
  fleet.run(2_000);
  assert.ok([...countOwners(fleet).values()].every((count) => count === 1));
});

test("state converges after lost, delayed, duplicated and reordered messages", () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const random = new SplitMix(seed);
    const fleet = startFleet(FOUR_DOMAINS);
    fleet.intercept = () => {
      const draw = random.next();
      if (draw < 0.1) return [];
      const delayMs = random.next() * 200;
      return draw < 0.2 ? [delayMs, random.next() * 400] : [delayMs];
    };
    for (let round = 0; round < 20; round += 1) {
      fleet.tables = editTables(fleet.tables!, round % 10);
      const upstreamId = `upstream-${round % 4}-${round % 3}`;
      fleet.upstreams.set(upstreamId, {
        ...fleet.upstreams.get(upstreamId)!,
        residents: [{ adapterKey: `adapter-${round}@v1`, inFlight: 0 }],
      });
      fleet.run(300);
    }
    fleet.intercept = () => [1];
    const revision = fleet.tables!.revision;
    const doneMs = fleet.runUntil(
      () => hasEveryDaemonRevision(fleet, revision),
      10_000,
    );
    assert.ok(doneMs < 10_000, `seed ${seed}: revisions differ`);
    fleet.run(5_000);
    const digests = new Set(
      fleet.listNodes().map((node) => node.core.getSnapshot()?.digest),
    );
    assert.is(digests.size, 1);
    const views = new Set(
      fleet.listNodes().map((node) =>
        JSON.stringify(
          node.core.explainRoute("route-0", fleet.now)
            .map((ranked) => ({
              id: ranked.candidate.host.id,
              owner: ranked.candidate.ownerId,
              residents: ranked.candidate.digest.residents,
            }))
            .sort((a, b) => a.id < b.id ? -1 : 1),
        )
      ),
    );
    assert.is(views.size, 1, `seed ${seed}: views differ`);
  }
});

test("a configuration change takes effect on every daemon within a second", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  fleet.tables = editTables(fleet.tables!, 3);
  const doneMs = fleet.runUntil(() => hasEveryDaemonRevision(fleet, 3), 5_000);
  assert.ok(doneMs <= 1_000, `effective after ${doneMs} ms`);
});

test("a starting daemon uses the newer tables of its peers when the platform serves stale ones", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  for (let edit = 0; edit < 5; edit += 1) {
    fleet.tables = editTables(fleet.tables!, edit);
  }
  fleet.run(2_000);
  const newest = fleet.tables!.revision;
  fleet.tables = createTables(FOUR_DOMAINS, 2);
  const { host } = fleet.getNode("entry-1-0");
  fleet.getNode("entry-1-0").isAlive = false;
  fleet.run(2_000);
  const restarted = fleet.startNode(host);
  fleet.runUntil(() => restarted.core.state === "serving", 10_000);
  assert.is(restarted.core.getSnapshot()?.revision, newest);
});

test("a failure domain whose daemons all restart gets newer tables from other domains", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  fleet.tables = editTables(fleet.tables!, 1);
  fleet.run(2_000);
  fleet.tables = createTables(FOUR_DOMAINS, 2);
  const hosts = fleet.listNodes().map((node) => node.host)
    .filter((host) => host.failureDomain === formatDomain(2));
  for (const host of hosts) fleet.getNode(host.id).isAlive = false;
  fleet.run(3_000);
  for (const host of hosts) {
    const { core } = fleet.startNode(host);
    fleet.runUntil(() => core.state === "serving", 10_000);
    assert.is(core.getSnapshot()?.revision, 3);
  }
});

test("two daemons per failure domain read the platform and are replaced when they die", () => {
  const fleet = startFleet(ONE_DOMAIN);
  const listReaders = (): string[] =>
    fleet.listNodes()
      .filter((node) => node.isAlive && node.isReading)
      .map((node) => node.host.id);
  const first = listReaders();
  assert.is(first.length, 2);
  for (const id of first) fleet.getNode(id).isAlive = false;
  fleet.run(4_000);
  assert.is(listReaders().length, 2);
  fleet.tables = editTables(fleet.tables!, 1);
  fleet.run(1_000);
  assert.ok(hasEveryDaemonRevision(fleet, 3));
});

test("a ticket claim reaches an issuer in another failure domain and is refused if the issuer is dead", () => {
  const fleet = startFleet(FOUR_DOMAINS);
  const node = fleet.getNode("entry-0-0");
  const peers = node.core.describe(fleet.now).peers;
  const remote = peers.find((peer) => peer.id === "entry-3-1");
  assert.ok(remote);
  const routes = fleet.tables!.routes.map((route) => ({
    ...route,
    idempotent: false,
    queueDeadlineMs: 3_000,
  }));
  fleet.tables = { ...fleet.tables!, revision: 3, routes };
  fleet.run(2_000);
  const tickets: string[] = [];
  const request = {
    kind: "requestArrived",
    customer: "derwent",
    route: "route-0",
    fingerprint: "f",
    sharedParts: [],
  } as const;
  const issuer = fleet.getNode("entry-3-1");
  for (
    const effect of issuer.core.handle(
      { ...request, requestId: "r1" },
      fleet.now,
    )
  ) {
    if (effect.kind === "refuse" && effect.ticket) tickets.push(effect.ticket);
  }
  assert.is(tickets.length, 1);
  fleet.handle(node, { ...request, requestId: "r2", ticket: tickets[0]! });
  fleet.run(300);
  assert.is(node.core.describe(fleet.now).execution.requests, 1);
  issuer.isAlive = false;
  fleet.handle(node, { ...request, requestId: "r3", ticket: tickets[0]! });
  fleet.run(4_000);
  assert.ok(node.refusals.includes("ticketHomeUnreachable"));
});

test.run();
