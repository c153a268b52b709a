/**
 * The store is away for a moment and comes back from a copy six seconds old. The
 * operator writes the lost configuration again, and then a newer one, which has
 * to come into force.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  buildConfiguration,
  buildRoute,
  Clients,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, Fleet } from "../standins/fleet.mjs";
import { EngineReplica, ServiceReplica } from "../standins/replicas.mjs";
import { Store } from "../standins/store.mjs";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const COPY_AT_MS = 8_000;
const SECOND_VERSION_AT_MS = 13_000;
const AWAY_AT_MS = 14_000;
const AWAY_MS = 500;
const THIRD_VERSION_AFTER_MS = 300;
const PLAY_AFTER_MS = 30_000;
const CALL_INTERVAL_MS = 100;
const MODEL = {
  name: "m0",
  weights_mb: 34_300,
  load_s: 0.6,
  adapters: 3_000,
  adapter_mb: 40,
};
/** Adapters that are asked for in turn, so that replicas load and evict them. */
const ADAPTERS = Array.from({ length: 80 }, (_, index) => `a${index + 1}`);
const NOTES_INTERVAL_MS = 120;

await runCase("review/2/record.txt", async ({ record, isTrouble, onEnd }) => {
  const store = new Store();
  const fleet = new Fleet();
  await store.listen(`${fleet.network}.200`);
  fleet.useStore(store.address);
  onEnd(() => store.close());
  const services = ["desk-old", "desk-new"].map((name) => ({
    name,
    health_path: "/healthz",
    max_conns: 110,
  }));
  const writer = {
    name: "writer",
    health_path: "/healthz",
    max_conns: 500,
    engine: {
      slots: 96,
      kv_capacity: 183_499,
      adapter_slots: 8,
      weights_mb: 35_300,
      models: [MODEL],
    },
  };
  const publish = (version, service, timeoutMs) => {
    const routes = [
      buildRoute("order", "unsafe", service, { timeout_ms: timeoutMs }),
      buildRoute("notes", "stream", "writer", {
        timeout_ms: 15_000,
        target_latency_ms: 800,
      }),
    ];
    const revision = store.put(
      "op/config",
      buildConfiguration(version, routes, [...services, writer]),
    );
    record.add({ kind: "configuration", version, service, revision });
  };
  publish(10, "desk-old", 1_000);
  const replicas = services.flatMap(({ name }) =>
    ZONES.slice(0, 2).map((zone, index) =>
      new ServiceReplica({
        store,
        record: record.add,
        id: `${name}-${index}`,
        service: name,
        zone,
        slots: 6,
        queue: 24,
        workMs: 40,
      })
    )
  );
  for (const [index, zone] of [...ZONES, ...ZONES].entries()) {
    replicas.push(
      new EngineReplica({
        store,
        record: record.add,
        id: `writer-${index}`,
        service: "writer",
        zone,
        slots: 96,
        model: MODEL,
        weightsMb: 35_300,
        adapterSlots: 8,
      }),
    );
  }
  for (const [index, replica] of replicas.entries()) {
    await replica.listen(`${fleet.network}.${201 + index}`);
    onEnd(() => replica.close());
  }
  onEnd(() => fleet.stop());
  await fleet.start(ZONES);

  const startedAt = record.now;
  let isOver = false;
  const calls = fleet.gateways.map(async (gateway) => {
    const clients = new Clients(gateway, record);
    onEnd(() => clients.close());
    while (!isOver) {
      const sentAtMs = record.now;
      const answer = await clients.call("/order/commit", {});
      answer.sentAtMs = sentAtMs;
      answer.gateway = gateway.name;
      await sleep(CALL_INTERVAL_MS);
    }
  });
  const notes = fleet.gateways.map(async (gateway, first) => {
    const clients = new Clients(gateway, record);
    onEnd(() => clients.close());
    for (let count = first; !isOver; count += 1) {
      void clients.call("/notes/write", {
        deadlineMs: 2_000,
        headers: {
          "X-Model": `m0/${ADAPTERS[count * 7 % ADAPTERS.length]}`,
          "X-Token-Counts": "626,60",
          "X-Prompt-Prefix": `5c1e07a2:126,${(4096 + count).toString(16)}:500`,
        },
      });
      await sleep(NOTES_INTERVAL_MS);
    }
  });
  const sleepUntil = (atMs) => sleep(startedAt + atMs - record.now);
  await sleepUntil(COPY_AT_MS);
  const copy = store.copy();
  record.add({ kind: "copy", revision: copy.revision });
  await sleepUntil(SECOND_VERSION_AT_MS);
  publish(20, "desk-old", 900);
  await sleepUntil(AWAY_AT_MS);
  if (isTrouble) {
    record.add({ kind: "storeAway", revision: store.revision });
    store.leave();
    await sleep(AWAY_MS);
    store.returnFrom(copy);
    record.add({ kind: "storeBack", revision: store.revision });
    // What the operator and the replicas wrote is written again.
    publish(20, "desk-old", 900);
    for (const replica of replicas) replica.register();
  }
  await sleep(THIRD_VERSION_AFTER_MS);
  publish(30, "desk-new", 1_000);
  const acknowledgedAt = record.now;
  await sleep(PLAY_AFTER_MS);
  isOver = true;
  await Promise.all([...calls, ...notes]);

  // The bound with the whole stretch that an unstable core may bring; by then the
  // core has been stable for longer than `contact_ms`.
  const boundAt = acknowledgedAt + BOUNDS.apply_ms + BOUNDS.max_stretch_ms;
  const serviceById = new Map(
    record.entries.filter(({ kind }) => kind === "run")
      .map(({ id, service }) => [id, service]),
  );
  const judged = record.entries.filter((entry) =>
    entry.kind === "answered" && entry.sentAtMs > boundAt
  );
  const stale = judged.filter(({ id }) => serviceById.get(id) === "desk-old");
  const fresh = judged.filter(({ id }) => serviceById.get(id) === "desk-new");
  if (stale.length + fresh.length === 0) throw new Error("nothing was served");
  return {
    broken: stale.length > 0,
    summary: {
      requestsAfterTheBound: judged.length,
      runByTheNewService: fresh.length,
      runByTheOldService: stale.length,
      gatewaysThatStayedOld: [...new Set(stale.map(({ gateway }) => gateway))],
      lastStaleMsAfterAcknowledgement: stale.length === 0
        ? undefined
        : stale.at(-1).sentAtMs - acknowledgedAt,
    },
  };
});
