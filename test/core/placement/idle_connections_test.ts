/** How long idle connections to upstreams are kept. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  computeLongIdleLimit,
  DEFAULT_IDLE_MS,
  type IdleConnection,
  IdleConnectionPolicy,
  parseKeepAliveTimeout,
} from "../../../src/core/placement/idle_connections.ts";

const CONNECTION: IdleConnection = {
  address: "127.0.0.1:1",
  announcedMs: 5_000,
  otherIdle: 0,
  longIdleLimit: 1,
};

const ROWS: [string, Partial<IdleConnection>, number][] = [
  ["an announced time, less a margin", {}, 4_000],
  [
    "the default without an announcement",
    { announcedMs: undefined },
    DEFAULT_IDLE_MS,
  ],
  ["the default without room", { longIdleLimit: 0 }, DEFAULT_IDLE_MS],
  [
    "the default beside as many idle ones as there is room for",
    { otherIdle: 1 },
    DEFAULT_IDLE_MS,
  ],
  ["at most ten seconds", { announcedMs: 600_000 }, 10_000],
  ["half of a short time", { announcedMs: 1_000 }, 500],
  [
    "less than two seconds where two are announced",
    { announcedMs: 2_000 },
    1_000,
  ],
  ["a short time whatever room there is", {
    announcedMs: 1_000,
    longIdleLimit: 0,
  }, 500],
  ["not at all where no time is announced to be left", { announcedMs: 0 }, 0],
];

for (const [name, fields, expected] of ROWS) {
  test(`an idle connection is kept for ${name}`, () => {
    const policy = new IdleConnectionPolicy();
    assert.is(policy.decideIdleTime({ ...CONNECTION, ...fields }, 0), expected);
  });
}

test("an upstream that closed a connection early gets the default for a minute", () => {
  const policy = new IdleConnectionPolicy();
  policy.recordEarlyClose(CONNECTION.address, 1_000);
  const decide = (now: number, address = CONNECTION.address) =>
    policy.decideIdleTime({ ...CONNECTION, address }, now);
  assert.is(decide(1_000), DEFAULT_IDLE_MS);
  assert.is(decide(60_999), DEFAULT_IDLE_MS);
  assert.is(decide(61_000), 4_000);
  assert.is(decide(1_000, "127.0.0.1:2"), 4_000);
});

test("idle connections of all hosts take at most half of an upstream's connections for longer than the default", () => {
  for (const hosts of [1, 2, 58, 70, 900]) {
    for (const maxConnections of [1, 64, 100, 140, 4_000]) {
      const limit = computeLongIdleLimit(maxConnections, hosts);
      assert.ok(limit * hosts <= maxConnections / 2);
    }
  }
  assert.is(computeLongIdleLimit(140, 70), 1);
  assert.is(computeLongIdleLimit(139, 70), 0);
});

test("a Keep-Alive header is read only if it names a whole number of seconds", () => {
  const rows: [string | undefined, number | undefined][] = [
    ["timeout=5", 5_000],
    ["timeout=5, max=100", 5_000],
    ["max=100, Timeout=7", 7_000],
    ["timeout=0", 0],
    [undefined, undefined],
    ["", undefined],
    ["timeout=-5", undefined],
    ["timeout=5s", undefined],
    ["timeout=99999999999", undefined],
    ["xtimeout=5", undefined],
  ];
  for (const [text, expected] of rows) {
    assert.is(parseKeepAliveTimeout(text), expected, `${text}`);
  }
});

/**
 * Replays the load of a plain service of 3 upstreams: 64 hosts send 95 requests a
 * second for ten minutes, so that a host uses an upstream every other second.
 * Returns the fraction of requests that need a new connection.
 */
function replayConnections(
  announcedMs: number | undefined,
  maxConnections: number,
  seed: number,
): number {
  const hosts = 64;
  const upstreams = 3;
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const policy = new IdleConnectionPolicy();
  const longIdleLimit = computeLongIdleLimit(maxConnections, hosts);
  const keptUntil = new Map<string, number>();
  let requests = 0;
  let opened = 0;
  const drawGapMs = () => -1_000 / 95 * Math.log(1 - draw());
  for (let now = 0; now < 600_000; now += drawGapMs()) {
    const address = `u${Math.floor(draw() * upstreams)}`;
    const pair = `${Math.floor(draw() * hosts)} ${address}`;
    requests += 1;
    if (now > (keptUntil.get(pair) ?? -1)) opened += 1;
    const idleMs = policy.decideIdleTime(
      { address, announcedMs, otherIdle: 0, longIdleLimit },
      now,
    );
    keptUntil.set(pair, now + idleMs);
  }
  return opened / requests;
}

test("an announced time saves new connections under the load of a plain service, if there is room", () => {
  for (const seed of [1, 2, 3]) {
    const before = replayConnections(undefined, 256, seed);
    assert.ok(before > 0.34 && before < 0.41, `${before}`);
    assert.is(replayConnections(5_000, 64, seed), before);
    const withFive = replayConnections(5_000, 256, seed);
    assert.ok(withFive < 0.18, `${withFive}`);
    const withFifteen = replayConnections(15_000, 256, seed);
    assert.ok(withFifteen < 0.03, `${withFifteen}`);
  }
});

test.run();
