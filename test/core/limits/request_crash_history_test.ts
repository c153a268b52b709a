/**
 * Crash history of whole requests. The load pattern: one request is sent again
 * and again, with a new id, to hosts in turn, and crashes most upstreams that
 * run it; others run beside it.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RequestCrashHistory } from "../../../src/core/limits/request_crash_history.ts";

const FIRST_TRIAL_MS = 60_000;
/** Runs that the users' rule allows later than `contact_ms` after the third crash. */
const ALLOWED_AFTER = 3;
const CONTACT_MS = 3_000;

function createHosts(count: number): RequestCrashHistory[] {
  return Array.from(
    { length: count },
    (_, index) =>
      new RequestCrashHistory({ getTrialDelayMs: () => 2_000 * index }),
  );
}

function createHost(): RequestCrashHistory {
  const [host] = createHosts(1);
  if (!host) throw new Error("expected a host, actual none");
  return host;
}

/** Exchanges what the hosts know, through the form that messages have. */
function exchangeDigests(hosts: readonly RequestCrashHistory[], now: number) {
  for (const sender of hosts) {
    const text = JSON.stringify(sender.getDigest(now));
    for (const receiver of hosts) {
      if (receiver !== sender) receiver.mergeDigest(JSON.parse(text), now);
    }
  }
}

function crash(
  host: RequestCrashHistory,
  request: string,
  at: number,
  crashId = `u${at}`,
  runMs = 20,
): boolean {
  const run = { crashId, sentAt: at - runMs, endedAt: at };
  return host.recordCrash(request, run, at);
}

test("BUDGET: a request that crashes upstreams after output is held back after three crashes, seen by three hosts", () => {
  const hosts = createHosts(3);
  for (const [index, host] of hosts.entries()) {
    crash(host, "deadly", 1_000 + 300 * index);
    crash(host, `beside-${index}`, 1_000 + 300 * index);
    exchangeDigests(hosts, 1_050 + 300 * index);
  }
  for (const host of hosts) {
    assert.is(host.decideAdmission("deadly", 1_700).kind, "refused");
    for (const index of hosts.keys()) {
      const admission = host.decideAdmission(`beside-${index}`, 1_700);
      assert.is(admission.kind, "admitted");
    }
  }
});

test("BUDGET: a request that completes now and then is held back all the same", () => {
  const host = createHost();
  for (let run = 0; run < 5; run += 1) {
    if (run % 2 === 0) crash(host, "deadly", 1_000 * (run + 1));
    else host.recordCompletion("deadly", false, 1_000 * (run + 1));
  }
  assert.ok(host.isHeldBack("deadly", 5_001));
});

test("a request that many callers send alike is served while it completes far more often than it is in crashes", () => {
  const host = createHost();
  for (let round = 0; round < 10; round += 1) {
    crash(host, "popular", 10_000 * (round + 1));
    for (let run = 0; run < 8; run += 1) {
      host.recordCompletion("popular", false, 10_000 * (round + 1) + run);
    }
    assert.not.ok(host.isHeldBack("popular", 10_000 * (round + 1) + 10));
  }
});

test("upstreams that crash at the same moment count once against a request that runs on each", () => {
  const host = createHost();
  for (let upstream = 0; upstream < 6; upstream += 1) {
    crash(host, "popular", 1_000 + upstream, `u${upstream}`);
  }
  assert.not.ok(host.isHeldBack("popular", 1_100));
});

test("one crash that several hosts report counts once", () => {
  const hosts = createHosts(4);
  for (const host of hosts) crash(host, "request", 1_000, "u1");
  exchangeDigests(hosts, 1_010);
  exchangeDigests(hosts, 1_020);
  for (const host of hosts) {
    assert.is(host.decideAdmission("request", 1_030).kind, "admitted");
  }
});

test("a request that is held back is tried once after a time that doubles, one host after the other", () => {
  const [first, second] = createHosts(2) as [
    RequestCrashHistory,
    RequestCrashHistory,
  ];
  for (const at of [1_000, 2_000, 3_000]) crash(first, "deadly", at);
  exchangeDigests([first, second], 3_010);
  const trialAt = 3_000 + FIRST_TRIAL_MS;
  assert.is(first.decideAdmission("deadly", trialAt - 1).kind, "refused");
  assert.is(first.decideAdmission("deadly", trialAt).kind, "trial");
  assert.is(first.decideAdmission("deadly", trialAt + 1).kind, "refused");
  assert.is(second.decideAdmission("deadly", trialAt + 1).kind, "refused");
  crash(first, "deadly", trialAt + 20);
  first.endTrial("deadly");
  exchangeDigests([first, second], trialAt + 40);
  const nextAt = trialAt + 20 + 2 * FIRST_TRIAL_MS;
  for (const host of [first, second]) {
    assert.is(host.decideAdmission("deadly", nextAt - 10).kind, "refused");
  }
});

test("a trial that completes admits the request until its next crash", () => {
  const host = createHost();
  for (const at of [1_000, 2_000, 3_000]) crash(host, "unlucky", at);
  const trialAt = 3_000 + FIRST_TRIAL_MS;
  assert.is(host.decideAdmission("unlucky", trialAt).kind, "trial");
  host.recordCompletion("unlucky", true, trialAt + 50);
  host.endTrial("unlucky");
  assert.is(host.decideAdmission("unlucky", trialAt + 60).kind, "admitted");
  crash(host, "unlucky", trialAt + 1_000);
  assert.is(
    host.decideAdmission("unlucky", trialAt + 1_001).kind,
    "refused",
  );
});

test("a host that starts learns from one digest what is held back", () => {
  const [old, young] = createHosts(2) as [
    RequestCrashHistory,
    RequestCrashHistory,
  ];
  for (let index = 0; index < 100; index += 1) {
    crash(old, `beside-${index}`, 500 + index);
  }
  for (const at of [1_000, 2_000, 3_000, 4_000, 5_000]) {
    crash(old, "deadly", at);
  }
  for (let index = 0; index < 100; index += 1) {
    crash(old, `later-${index}`, 6_000 + index);
  }
  assert.ok(young.mergeDigest(old.getDigest(7_000), 7_005));
  assert.is(young.decideAdmission("deadly", 7_010).kind, "refused");
});

test("BUDGET: a new request that crashes upstreams is told although many others are held back", () => {
  const hosts = createHosts(3) as [
    RequestCrashHistory,
    RequestCrashHistory,
    RequestCrashHistory,
  ];
  const [host] = hosts;
  for (let request = 0; request < 40; request += 1) {
    for (const at of [1_000, 2_000, 3_000, 4_000]) {
      crash(host, `old-${request}`, at + request, `u${request}-${at}`);
    }
  }
  exchangeDigests(hosts, 5_000);
  hosts.forEach((each, index) => {
    crash(each, "deadly", 20_000 + 300 * index);
    exchangeDigests(hosts, 20_050 + 300 * index);
  });
  for (const each of hosts) {
    assert.is(each.decideAdmission("deadly", 21_000).kind, "refused");
  }
});

test("a host that starts learns all requests that are held back from some digests", () => {
  const [old, young] = createHosts(2) as [
    RequestCrashHistory,
    RequestCrashHistory,
  ];
  for (let request = 0; request < 30; request += 1) {
    for (const at of [1_000, 2_000, 3_000]) {
      crash(old, `old-${request}`, at + request, `u${request}-${at}`);
    }
  }
  for (let digest = 0; digest < 30; digest += 1) {
    young.mergeDigest(old.getDigest(20_000 + digest), 20_000 + digest);
  }
  assert.is(young.countHeldBack(), 30);
});

test("a digest stays within its share of a datagram, whatever has crashed", () => {
  const host = createHost();
  for (let index = 0; index < 400; index += 1) {
    const request = `fingerprint-${index % 40}`.slice(-12);
    crash(host, request, 1_000 * index, `zz${1_000_000 + index}`, 4_000);
  }
  const size = JSON.stringify(host.getDigest(500_000)).length;
  assert.ok(size <= 1_000, `${size} bytes`);
});

test("the number of requests that are remembered is bounded, and those held back stay", () => {
  const host = createHost();
  for (const at of [1_000, 2_000, 3_000]) crash(host, "deadly", at);
  for (let index = 0; index < 5_000; index += 1) {
    crash(host, `beside-${index}`, 4_000 + index);
  }
  assert.ok(host.isHeldBack("deadly", 10_000));
  assert.is(host.countHeldBack(), 1);
});

for (
  const [name, crashShare, lostDigests] of [
    ["always crashes", 1, 0],
    ["crashes in seven of ten runs", 0.7, 0],
    ["crashes in four of ten runs, digests are lost", 0.4, 0.5],
  ] as const
) {
  test(`BUDGET: simulated fleet, a request that ${name} is run at most three times later than the bound`, () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const late = simulateLateRuns(seed, crashShare, lostDigests);
      assert.ok(late <= ALLOWED_AFTER, `seed ${seed}: ${late} late runs`);
    }
  });
}

/** Sends one request every 300 ms for a minute to nine hosts, beside others. */
function simulateLateRuns(
  seed: number,
  crashShare: number,
  lostDigests: number,
): number {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const hosts = createHosts(9);
  const crashTimes: number[] = [];
  let late = 0;
  for (let now = 1_000; now < 61_000; now += 300) {
    const host = hosts[Math.floor(draw() * hosts.length)];
    if (host && host.decideAdmission("deadly", now).kind !== "refused") {
      const countedAt = crashTimes[2] ?? Number.POSITIVE_INFINITY;
      if (now > countedAt + CONTACT_MS) late += 1;
      if (draw() < crashShare) {
        crash(host, "deadly", now + 20);
        crashTimes.push(now + 20);
        for (let beside = 0; beside < 8; beside += 1) {
          crash(host, `beside-${now}-${beside}`, now + 20, `u${now + 20}`);
        }
      } else {
        host.recordCompletion("deadly", false, now + 20);
      }
    }
    // Digests go with each heartbeat for a while, so that a loss is made up for.
    for (const sender of hosts) {
      if (!sender.hasNews(now + 200)) continue;
      const digest = sender.getDigest(now + 200);
      for (const receiver of hosts) {
        if (receiver === sender || draw() < lostDigests) continue;
        receiver.mergeDigest(digest, now + 201);
      }
    }
  }
  return late;
}

/** Crashing requests in a fleet whose hosts tell few others in a period. */
interface FleetLoad {
  name: string;
  hosts: number;
  requests: number;
  /** Sends of one request at the same moment, to different hosts. */
  copies: number;
  /** Mean time between two sends of one request. */
  gapMs: number;
  /** Time until a run crashes its upstream. */
  runMs: number;
  /** Runs of other requests that each crash ends. */
  runsBeside: number;
}

const FLEET_LOADS: FleetLoad[] = [
  {
    name: "twenty of them every 300 ms, 60 hosts",
    hosts: 60,
    requests: 20,
    copies: 1,
    gapMs: 300,
    runMs: 20,
    runsBeside: 30,
  },
  {
    name: "three of them, four copies at a time every 5 s, 9 hosts",
    hosts: 9,
    requests: 3,
    copies: 4,
    gapMs: 5_000,
    runMs: 20,
    runsBeside: 20,
  },
  {
    name: "three of them, four copies at a time that work 400 ms, 60 hosts",
    hosts: 60,
    requests: 3,
    copies: 4,
    gapMs: 4_000,
    runMs: 400,
    runsBeside: 20,
  },
];

for (const load of FLEET_LOADS) {
  test(`BUDGET: simulated fleet, requests that crash upstreams are run at most three times later than the bound: ${load.name}`, () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const late = new CrashingFleet(load, seed).run();
      assert.ok(late <= ALLOWED_AFTER, `seed ${seed}: ${late} late runs`);
    }
  });
}

const STEP_MS = 10;
const HEARTBEAT_MS = 1_000;
const EARLY_HEARTBEAT_MS = 30;
const TRIAL_STAGGER_MS = 2_000;
/** Hosts that get a heartbeat in a period; all of them in a small fleet. */
const FANOUT = 7;
const SMALL_FLEET = 24;
const LOST_SHARE = 0.02;

/** Hosts that exchange digests as gateways do, in simulated time. */
class CrashingFleet {
  readonly #load: FleetLoad;
  readonly #draw: () => number;
  readonly #hosts: RequestCrashHistory[];
  readonly #heartbeatAt: number[];
  readonly #crashTimes: number[][];
  readonly #late: number[];
  readonly #nextSendAt: number[];
  /** Events to come, in no order. */
  #events: { at: number; handle: (now: number) => void }[] = [];

  constructor(load: FleetLoad, seed: number) {
    this.#load = load;
    const generator = xoroshiro128plus(seed);
    this.#draw = () => uniformFloat64(generator);
    this.#hosts = Array.from(
      { length: load.hosts },
      (_, index) =>
        new RequestCrashHistory({
          getTrialDelayMs: (fingerprint) =>
            TRIAL_STAGGER_MS * ((index + fingerprint.length) % load.hosts),
        }),
    );
    this.#heartbeatAt = this.#hosts.map(() => this.#draw() * HEARTBEAT_MS);
    const requests = Array.from({ length: load.requests });
    this.#crashTimes = requests.map(() => []);
    this.#late = requests.map(() => 0);
    this.#nextSendAt = requests.map(() => this.#draw() * load.gapMs);
  }

  /** Returns the most late runs of a request. */
  run(): number {
    for (let now = 0; now < 40_000; now += STEP_MS) {
      this.#nextSendAt.forEach((at, request) => {
        if (at <= now) this.#send(request, now);
      });
      const due = this.#events.filter(({ at }) => at <= now);
      this.#events = this.#events.filter(({ at }) => at > now);
      for (const { handle } of due) handle(now);
      this.#heartbeatAt.forEach((at, host) => {
        if (at <= now) this.#sendHeartbeats(host, now);
      });
    }
    return Math.max(...this.#late);
  }

  #drawHost(): number {
    return Math.floor(this.#draw() * this.#hosts.length);
  }

  #send(request: number, now: number): void {
    const { copies, gapMs, runMs, runsBeside } = this.#load;
    this.#nextSendAt[request] = now + gapMs * (0.5 + this.#draw());
    const name = `deadly-${request}`;
    for (let copy = 0; copy < copies; copy += 1) {
      const index = this.#drawHost();
      const host = this.#hosts[index];
      if (!host || host.decideAdmission(name, now).kind === "refused") continue;
      const times = this.#crashTimes[request] ?? [];
      const countedAt = [...times].sort((a, b) => a - b)[2] ??
        Number.POSITIVE_INFINITY;
      if (now > countedAt + CONTACT_MS) {
        this.#late[request] = (this.#late[request] ?? 0) + 1;
      }
      const endedAt = now + runMs * (0.5 + this.#draw());
      const crashId = `u${request}-${times.length}`;
      times.push(endedAt);
      this.#crashRun(index, name, { crashId, sentAt: now, endedAt });
      for (let beside = 0; beside < runsBeside; beside += 1) {
        const sentAt = now - this.#draw() * 600;
        const run = { crashId, sentAt, endedAt };
        this.#crashRun(this.#drawHost(), `${crashId}-${beside}`, run);
      }
    }
  }

  #crashRun(
    index: number,
    name: string,
    run: Parameters<RequestCrashHistory["recordCrash"]>[1],
  ): void {
    const handle = (now: number) => {
      this.#hosts[index]?.recordCrash(name, run, now);
      this.#hurryHeartbeat(index, now);
    };
    this.#events.push({ at: run.endedAt, handle });
  }

  #hurryHeartbeat(index: number, now: number): void {
    const at = this.#heartbeatAt[index] ?? now;
    this.#heartbeatAt[index] = Math.min(at, now + EARLY_HEARTBEAT_MS);
  }

  #sendHeartbeats(index: number, now: number): void {
    this.#heartbeatAt[index] = now + HEARTBEAT_MS;
    const sender = this.#hosts[index];
    if (!sender?.hasNews(now)) return;
    const digest = sender.getDigest(now);
    const targets = this.#hosts.length < SMALL_FLEET
      ? [...this.#hosts.keys()].filter((each) => each !== index)
      : Array.from({ length: FANOUT }, () => this.#drawHost());
    for (const target of targets) {
      if (this.#draw() < LOST_SHARE) continue;
      const handle = (at: number) => {
        const isAnyHeldBack = this.#hosts[target]?.mergeDigest(digest, at);
        if (isAnyHeldBack) this.#hurryHeartbeat(target, at);
      };
      this.#events.push({ at: now + 3, handle });
    }
  }
}

test("a request without a completed run that was running in three crashes at the same moment is tried once at a time until it completes", () => {
  const host = createHost();
  for (let upstream = 0; upstream < 3; upstream += 1) {
    crash(host, "rare", 1_000 + upstream, `u${upstream}`);
  }
  assert.is(host.decideAdmission("rare", 1_010).kind, "trial");
  assert.is(host.decideAdmission("rare", 1_020).kind, "refused");
  host.recordCompletion("rare", true, 1_050);
  host.endTrial("rare");
  assert.is(host.decideAdmission("rare", 1_060).kind, "admitted");
});

test("a request that completed lately is admitted after crashes at the same moment", () => {
  const host = createHost();
  host.recordCompletion("popular", false, 500);
  for (let upstream = 0; upstream < 6; upstream += 1) {
    crash(host, "popular", 1_000 + upstream, `u${upstream}`);
  }
  assert.is(host.decideAdmission("popular", 1_100).kind, "admitted");
  assert.is(host.decideAdmission("popular", 1_101).kind, "admitted");
});

test("a request that is held back stays so for a host that hears of its latest crash alone", () => {
  const [old, young] = createHosts(2) as [
    RequestCrashHistory,
    RequestCrashHistory,
  ];
  for (const at of [1_000, 2_000, 3_000]) crash(old, "deadly", at);
  const [entry] = old.getDigest(3_500);
  assert.is(entry?.[2].length, 1);
  young.mergeDigest(entry ? [entry] : [], 3_510);
  assert.is(young.decideAdmission("deadly", 3_520).kind, "refused");
});

test.run();
