/**
 * One gateway is partitioned from all replicas for some seconds, while its
 * clients, the store and the other gateways still reach it.
 */
import { spawn } from "node:child_process";
import { connect } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  buildConfiguration,
  buildRoute,
  Clients,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, Fleet, isReady } from "../standins/fleet.mjs";
import { ServiceReplica } from "../standins/replicas.mjs";
import { Store } from "../standins/store.mjs";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const CUT_AT_MS = 8_000;
const CUT_MS = 9_000;
const AFTER_MS = 4_000;
const CALL_INTERVAL_MS = 50;
const READY_INTERVAL_MS = 1_000;
/** "two misses ... the daemon receives no new channels" */
const MISSES = 2;

await runCase("review/5/record.txt", async ({ record, isTrouble, onEnd }) => {
  const store = new Store();
  const fleet = new Fleet();
  await store.listen(`${fleet.network}.200`);
  onEnd(() => store.close());
  store.put(
    "op/config",
    buildConfiguration(10, [
      buildRoute("order", "unsafe", "desk"),
      buildRoute("stock", "safe", "desk"),
    ], [{ name: "desk", health_path: "/healthz", max_conns: 110 }]),
  );
  const replicas = [...ZONES, ZONES[0]].map((zone, index) =>
    new ServiceReplica({
      store,
      record: record.add,
      id: `desk-${index}`,
      service: "desk",
      zone,
      slots: 6,
      queue: 24,
      workMs: 43,
    })
  );
  for (const [index, replica] of replicas.entries()) {
    await replica.listen(`${fleet.network}.${201 + index}`);
    onEnd(() => replica.close());
  }
  const link = await startLinks(
    `${fleet.network}.230`,
    replicas.map(({ address }) => address),
    onEnd,
  );
  const view = await store.listenView(`${fleet.network}.231`, link.addresses);
  fleet.useStore(store.address, [view]);
  onEnd(() => fleet.stop());
  await fleet.start(ZONES);

  let isOver = false;
  const inRotation = fleet.gateways.map(() => true);
  const probes = fleet.gateways.map(async ({ ip, name }, index) => {
    for (let misses = 0; !isOver; await sleep(READY_INTERVAL_MS)) {
      misses = await isReady(ip) ? 0 : misses + 1;
      const isIn = misses < MISSES;
      if (isIn !== inRotation[index]) {
        record.add({ kind: "rotation", gateway: name, isIn });
      }
      inRotation[index] = isIn;
    }
  });
  // Clients open a new channel for each first try; the balancer sends it to the
  // gateway of their zone, or to another one while that is out of rotation.
  const tries = [];
  const send = async (zone) => {
    for (let count = 0; !isOver; count += 1) {
      const home = inRotation[zone] || !inRotation.includes(true)
        ? zone
        : inRotation.indexOf(true);
      const clients = new Clients(fleet.gateways[home], record);
      const path = count % 2 === 0 ? "/order/commit" : "/stock/check";
      const id = `c${zone}.${count}`;
      const sentAtMs = record.now;
      tries.push(clients.call(path, { id }).then((answer) => {
        answer.gateway = fleet.gateways[home].name;
        answer.sentAtMs = sentAtMs;
        clients.close();
        return answer;
      }));
      await sleep(CALL_INTERVAL_MS);
    }
  };
  const senders = ZONES.map((_, zone) => send(zone));
  await sleep(CUT_AT_MS);
  const cutAt = record.now;
  if (isTrouble) {
    await link.cut();
    record.add({ kind: "cut", gateway: fleet.gateways[0].name });
  }
  await sleep(cutAt + CUT_MS - record.now);
  const healedAt = record.now;
  if (isTrouble) {
    link.heal();
    record.add({ kind: "healed" });
  }
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all([...senders, ...probes]);

  const answers = (await Promise.all(tries)).filter(({ sentAtMs }) =>
    sentAtMs > cutAt + BOUNDS.contact_ms && sentAtMs < healedAt - 1_000
  );
  const cutName = fleet.gateways[0].name;
  const isServed = ({ status }) => status === 200;
  const there = answers.filter(({ gateway }) => gateway === cutName);
  const elsewhere = answers.filter(({ gateway }) => gateway !== cutName);
  const share = (list) => list.filter(isServed).length / list.length;
  const failed = there.filter((answer) => !isServed(answer));
  if (elsewhere.length === 0 || share(elsewhere) === 0) {
    throw new Error("no request was served");
  }
  const ends = {};
  for (const { status, closed } of failed) {
    ends[status ?? closed] = (ends[status ?? closed] ?? 0) + 1;
  }
  return {
    broken: there.length > 0 && share(there) < share(elsewhere) * 2 / 3 &&
      failed.length > 10 + answers.length / 50,
    summary: {
      firstTries: answers.length,
      triesAtTheCutGateway: there.length,
      servedThere: there.length > 0 ? share(there) : undefined,
      servedElsewhere: share(elsewhere),
      failedThere: failed.length,
      ends,
    },
  };
});

/** Starts the process that forwards the gateway's channels to the replicas. */
async function startLinks(ip, targets, onEnd) {
  const child = spawn(process.execPath, [
    "review/standins/cut.mjs",
    ip,
    ...targets,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  onEnd(() => child.kill("SIGKILL"));
  const line = await new Promise((resolve) => child.stdout.once("data", resolve));
  const ports = JSON.parse(line);
  let fillers = [];
  return {
    addresses: new Map(
      targets.map((target, index) => [target, `${ip}:${ports[index]}`]),
    ),
    /** Stops it, and fills the queues of its ports. */
    async cut() {
      child.kill("SIGSTOP");
      fillers = ports.flatMap((port) =>
        Array.from({ length: 6 }, () => connect(port, ip).on("error", () => {}))
      );
      await sleep(50);
    },
    heal() {
      for (const filler of fillers) filler.destroy();
      child.kill("SIGCONT");
    },
  };
}
