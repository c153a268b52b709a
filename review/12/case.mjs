/** A replica fails part of the requests that it has run with a 503 that has no X-Not-Run. */
import {
  createId, createRandom, Fleet, PlainReplica, runCase, sendRequest, sleep, Store,
} from "../standins-3/world.mjs";

const ZONES = ["lulea-a", "lulea-b", "umea-a", "umea-b"];
const NET = "127.74";
const BOUNDS = { drain_ms: 2_000, lease_ms: 3_000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 56, grace_s: 8 };
const DEADLINE_MS = 1_500;
const PER_S = 60;
/** `srv_grey`: one of four replicas fails this fraction for so long. */
const FRACTION = 0.4;
const GREY_S = 4;
const ROUTE = { name: "topup-unlock", host: "pay.example", prefix: "/topup/", kind: "unsafe", attempts: 1 };

await runCase(import.meta.dirname, async ({ record, hasTrouble, onEnd }) => {
  const random = createRandom(14);
  const store = new Store();
  await store.start(`${NET}.0.1`);
  let isGrey = false;
  const runs = new Set();
  const replicas = ZONES.map((zone, index) => new PlainReplica({
    store, record, zone, name: `i-${index + 1}`, ip: `${NET}.2.${index + 1}`,
    service: "kassa", slots: 6, queue: 24, workMs: 21,
    onRun: (id) => runs.add(id),
    failsAfterRun: () => isGrey && index === 0 && random() < FRACTION,
  }));
  store.put("op/config", {
    version: 7,
    routes: [{ ...ROUTE, timeout_ms: DEADLINE_MS, target_latency_ms: 121, priority: 2, service: "kassa", sticky: false, resumable: false }],
    services: [{ name: "kassa", health_path: "/healthz", max_conns: 110, proto: "h1", tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  });
  for (const replica of replicas) {
    onEnd(() => replica.stop());
    await replica.start();
  }
  const fleet = new Fleet();
  onEnd(() => fleet.stop());
  await fleet.start({ zones: ZONES, store, bounds: BOUNDS, net: NET, record });
  if (!await fleet.waitUntilReady(20_000)) throw new Error("the gateways are not ready");

  const ends = new Map();
  const open = [];
  const broken = [];
  let doubled = 0;
  /** One payment: a client repeats it once, and only after a promise that it has not run. */
  const pay = async () => {
    const endsAt = performance.now() + DEADLINE_MS;
    let runsOfPayment = 0;
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const id = createId();
      const machine = fleet.pick(random());
      record.add("client sends", id, "to", machine.name);
      const { kind, status } = await sendRequest(machine, {
        id, method: "POST", path: `${ROUTE.prefix}2f`, host: ROUTE.host, body: "pay once",
        deadlineMs: Math.max(1, Math.floor(endsAt - performance.now())), headers: {},
      });
      const end = kind === "answered" ? String(status) : kind;
      record.add("client gets", id, end);
      ends.set(end, (ends.get(end) ?? 0) + 1);
      if (runs.has(id)) runsOfPayment += 1;
      const isPromise = kind === "answered" && [408, 421, 429, 503].includes(status);
      if (isPromise && runs.has(id)) {
        broken.push(id);
        record.add("BROKEN:", id, "was answered", status, "and has run");
      }
      if (!isPromise) break;
    }
    if (runsOfPayment > 1) doubled += 1;
  };
  const run = async (durationS) => {
    const begunAt = performance.now();
    for (let sent = 0; performance.now() - begunAt < durationS * 1_000;) {
      const due = (performance.now() - begunAt) / 1_000 * PER_S;
      for (; sent < due; sent += 1) open.push(pay());
      await sleep(5);
    }
  };
  await run(3);
  isGrey = hasTrouble;
  if (hasTrouble) record.add("one replica fails part of its requests, its health is good");
  await run(GREY_S);
  isGrey = false;
  await run(2);
  await Promise.all(open);
  record.add("answers:", JSON.stringify(Object.fromEntries(ends)));
  record.add("requests that were said not to have run, and have:", broken.length);
  record.add("payments that ran twice because of it:", doubled);
  console.log(Object.fromEntries(ends), "broken promises", broken.length, "payments run twice", doubled);
  if ((ends.get("200") ?? 0) === 0) throw new Error("no request was served");
  return broken.length > 0 ? 1 : 0;
});
