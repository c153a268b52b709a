/**
 * Hosts that each adapt their limit to their own fetches, against weight stores
 * that serve an unknown number of fetches at full speed, also when that number
 * changes.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";
import { FetchConcurrencyLimit } from "../../../src/core/placement/fetch_concurrency_limit.ts";

const STEP_MS = 10;
/** Maximum number of loads in progress per engine, set by the platform. */
const MAX_LOADING = 4;
/** Delay before an engine is asked again for an adapter that was not loaded. */
const RETRY_MS = 60;
/** Heartbeat interval in a small fleet. */
const HEARTBEAT_MS = 400;
/** The limit has to be found within a factor of two in either direction. */
const FACTOR = 2;

interface Load {
  path: string;
  engine: SimulatedEngine;
  /** Remaining work, in milliseconds at full speed. */
  remainingMs: number;
}

interface SimulatedHost {
  fetchLimit: FetchConcurrencyLimit;
  engines: SimulatedEngine[];
  /** Fetches in flight and limit, as last published in a heartbeat. */
  publishedFetches: number;
  publishedLimit: number | undefined;
}

class SimulatedEngine {
  readonly slots = new AdapterSlots(MAX_LOADING + 4);
  readonly host: SimulatedHost;

  constructor(host: SimulatedHost) {
    this.host = host;
  }
}

interface Outcome {
  /** Completed loads per second, after the start. */
  rate: number;
  /** Mean number of loads in flight, after the start. */
  inFlight: number;
}

function countOwn(host: SimulatedHost): number {
  return host.engines.reduce(
    (count, each) => count + each.slots.countLoading(),
    0,
  );
}

/**
 * Every engine always wants more adapters than it may load. Hosts of small
 * fleets tell each other how many loads they have in flight.
 */
function simulate(options: {
  hosts: number;
  engines: number;
  loadMs: number;
  /** Number of loads at full speed, by time. */
  getFullSpeed: (now: number) => number;
  fromMs: number;
  untilMs: number;
}): Outcome {
  const hosts = Array.from({ length: options.hosts }, (): SimulatedHost => {
    const fetchLimit = new FetchConcurrencyLimit();
    fetchLimit.setEngineCount(options.engines);
    return {
      fetchLimit,
      engines: [],
      publishedFetches: 0,
      publishedLimit: undefined,
    };
  });
  const engines = Array.from({ length: options.engines }, (_, index) => {
    const host = hosts[index % hosts.length];
    if (!host) throw new Error("expected a host, got none");
    const engine = new SimulatedEngine(host);
    host.engines.push(engine);
    return engine;
  });
  const owners = Math.min(options.hosts, options.engines);
  const isFullMesh = options.hosts <= 24;
  let loads: Load[] = [];
  let next = 0;
  let done = 0;
  let sum = 0;
  let steps = 0;
  for (let now = 0; now < options.untilMs; now += STEP_MS) {
    const speed = Math.min(1, options.getFullSpeed(now) / loads.length);
    for (const load of loads) load.remainingMs -= STEP_MS * speed;
    for (const engine of engines) processLoads(engine, loads, now);
    const before = loads.length;
    loads = loads.filter((load) => load.engine.slots.getSlot(load.path));
    if (now >= options.fromMs) {
      done += before - loads.length;
      sum += loads.length;
      steps += 1;
    }
    hosts.forEach((host, index) => {
      const isHeartbeatDue = (now + index * 70) % HEARTBEAT_MS < STEP_MS;
      if (!isHeartbeatDue) return;
      host.publishedFetches = countOwn(host);
      host.publishedLimit = host.fetchLimit.measuredLimit;
      if (!isFullMesh) return;
      host.fetchLimit.recordPeerLimits(
        hosts.filter((each) => each !== host)
          .flatMap((each) => each.publishedLimit ?? []),
      );
    });
    for (const engine of engines) {
      const { host, slots } = engine;
      const own = countOwn(host);
      const others = hosts.reduce(
        (count, each) => count + (each === host ? 0 : each.publishedFetches),
        0,
      );
      const share = host.fetchLimit.computeShare({
        ownFetches: own,
        peerFetches: isFullMesh ? others : undefined,
        engineShare: Math.max(1, host.engines.length) /
          Math.max(options.engines, owners),
        owners,
      });
      if (slots.countLoading() >= MAX_LOADING || !share.canFetch) continue;
      next += 1;
      const path = `m/a${next}`;
      slots.setFetchShare(share);
      slots.recordLoadOrdered(path, undefined, now);
      loads.push({ path, engine, remainingMs: options.loadMs });
    }
  }
  const seconds = (options.untilMs - options.fromMs) / 1_000;
  return { rate: done / seconds, inFlight: sum / steps };
}

/**
 * Sends a request when a load is expected to be done; the engine runs or
 * rejects it.
 */
function processLoads(
  engine: SimulatedEngine,
  loads: readonly Load[],
  now: number,
): void {
  const { slots, host } = engine;
  for (const slot of slots.completeLoads(now)) {
    const load = loads.find((each) => each.path === slot.adapterPath);
    if (load && load.remainingMs > 0) {
      slots.recordLoadLate(slot, RETRY_MS, now);
    } else {
      slots.recordLoadConfirmed(slot);
      for (let token = 0; token < 5; token += 1) slots.recordLoadOnTime(now);
      slots.recordEvicted(slot.adapterPath);
    }
  }
  for (const observation of slots.takeObservations()) {
    host.fetchLimit.recordFetch(observation, now);
  }
}

/**
 * Sites by their specifications: hosts, engines, loads at full speed and load
 * time.
 */
const SITES = [
  { hosts: 4, engines: 4, fullSpeed: 4, loadMs: 250 },
  { hosts: 8, engines: 6, fullSpeed: 8, loadMs: 250 },
  { hosts: 9, engines: 13, fullSpeed: 8, loadMs: 250 },
  { hosts: 8, engines: 13, fullSpeed: 24, loadMs: 250 },
  { hosts: 75, engines: 98, fullSpeed: 64, loadMs: 288 },
  { hosts: 84, engines: 63, fullSpeed: 104, loadMs: 288 },
  { hosts: 195, engines: 55, fullSpeed: 32, loadMs: 250 },
  { hosts: 8, engines: 13, fullSpeed: 24, loadMs: 700 },
];

for (const { hosts, engines, fullSpeed, loadMs } of SITES) {
  const name = `${engines} engines of ${hosts} hosts`;
  test(`a store of ${fullSpeed} loads of ${loadMs} ms is used, ${name}`, () => {
    const { rate, inFlight } = simulate({
      hosts,
      engines,
      loadMs,
      getFullSpeed: () => fullSpeed,
      fromMs: 2_000,
      untilMs: 20_000,
    });
    const bestRate = fullSpeed / (loadMs / 1_000);
    assert.ok(rate > bestRate / FACTOR, `${rate} of ${bestRate} a second`);
    // Each owner keeps one in flight, whatever the capacity of the store.
    const maxInFlight = FACTOR * Math.max(fullSpeed, Math.min(hosts, engines));
    assert.ok(
      inFlight < maxInFlight,
      `${inFlight} in flight, expected ${maxInFlight}`,
    );
  });
}

for (const [before, after] of [[24, 8], [8, 24], [104, 24]] as const) {
  test(`the limit follows a store that serves ${before}, then ${after} loads at full speed`, () => {
    const { rate, inFlight } = simulate({
      hosts: 8,
      engines: 26,
      loadMs: 250,
      getFullSpeed: (now) => now < 10_000 ? before : after,
      fromMs: 16_000,
      untilMs: 30_000,
    });
    const bestRate = after / 0.25;
    assert.ok(rate > bestRate / FACTOR, `${rate} of ${bestRate} a second`);
    // Each host may have three in flight before it hears of the others'.
    const maxInFlight = Math.max(FACTOR * after, 3 * 8);
    assert.ok(
      inFlight < maxInFlight,
      `${inFlight} in flight, expected ${maxInFlight}`,
    );
  });
}

test("fetches beside few others don't change the limit", () => {
  const fetchLimit = new FetchConcurrencyLimit();
  fetchLimit.setEngineCount(13);
  const before = fetchLimit.limit;
  for (let load = 0; load < 50; load += 1) {
    const orderedAt = load * 300;
    const durationMs = load % 2 === 0 ? 260 : 600;
    fetchLimit.recordFetch(
      {
        orderedAt,
        concurrentFetches: 3,
        durationMs,
        isDone: true,
        isAtMinConcurrency: false,
        isAtHostShare: false,
      },
      orderedAt + durationMs,
    );
  }
  assert.is(fetchLimit.limit, before);
});

test("concurrent late fetches lower the limit once", () => {
  const fetchLimit = new FetchConcurrencyLimit();
  fetchLimit.setEngineCount(100);
  const record = (
    orderedAt: number,
    concurrentFetches: number,
    durationMs: number,
  ) =>
    fetchLimit.recordFetch(
      {
        orderedAt,
        concurrentFetches,
        durationMs,
        isDone: true,
        isAtMinConcurrency: false,
        isAtHostShare: true,
      },
      orderedAt + durationMs,
    );
  record(0, 1, 260);
  const grown = fetchLimit.limit;
  for (let load = 0; load < 10; load += 1) record(load, 60, 1_000);
  assert.is(fetchLimit.limit, grown / 2);
  record(2_000, 20, 1_000);
  assert.is(fetchLimit.limit, grown / 4);
});

test("slightly late fetches do not lower the limit below its initial value", () => {
  const fetchLimit = new FetchConcurrencyLimit();
  fetchLimit.setEngineCount(100);
  const first = fetchLimit.limit;
  const record = (orderedAt: number, durationMs: number) =>
    fetchLimit.recordFetch(
      {
        orderedAt,
        concurrentFetches: 60,
        durationMs,
        isDone: true,
        isAtMinConcurrency: false,
        isAtHostShare: true,
      },
      orderedAt + durationMs,
    );
  for (let load = 0; load < 9; load += 1) record(load, 260);
  const grown = fetchLimit.limit;
  record(1_000, 360);
  assert.is(fetchLimit.limit, 0.85 * grown);
  for (let load = 2; load < 20; load += 1) record(load * 1_000, 360);
  assert.is(fetchLimit.limit, first);
});

test("an unfinished fetch that is not late yet doesn't change the limit", () => {
  const fetchLimit = new FetchConcurrencyLimit();
  fetchLimit.setEngineCount(100);
  const load = {
    orderedAt: 0,
    concurrentFetches: 60,
    isAtMinConcurrency: false,
    isAtHostShare: true,
  };
  fetchLimit.recordFetch(
    {
      ...load,
      isAtMinConcurrency: false,
      isAtHostShare: false,
      durationMs: 260,
      isDone: true,
    },
    260,
  );
  fetchLimit.recordFetch({ ...load, durationMs: 280, isDone: false }, 280);
  assert.is(fetchLimit.limit, 65);
});

test.run();
