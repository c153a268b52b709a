/** Backoff times of upstreams towards this host, one row per case. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamBackoff } from "../../../src/core/placement/upstream_backoff.ts";

const FIRST = { id: "i-1", bornAtUnixMs: 1_000 };
const SECOND = { id: "i-2", bornAtUnixMs: 1_000 };

interface Row {
  name: string;
  backoffs: { upstream: typeof FIRST; ms: number; at: number }[];
  at: number;
  available: string[];
  shortestMs: number;
}

const ROWS: Row[] = [
  {
    name: "no backoff",
    backoffs: [],
    at: 0,
    available: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "backoff of one of two upstreams",
    backoffs: [{ upstream: FIRST, ms: 800, at: 100 }],
    at: 899,
    available: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "backoff is over",
    backoffs: [{ upstream: FIRST, ms: 800, at: 100 }],
    at: 900,
    available: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "a shorter backoff does not end a longer one",
    backoffs: [
      { upstream: FIRST, ms: 2_000, at: 0 },
      { upstream: FIRST, ms: 100, at: 500 },
    ],
    at: 1_500,
    available: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "a longer backoff extends a shorter one",
    backoffs: [
      { upstream: FIRST, ms: 300, at: 0 },
      { upstream: FIRST, ms: 900, at: 200 },
    ],
    at: 1_000,
    available: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "backoff of a former instance",
    backoffs: [
      { upstream: { ...FIRST, bornAtUnixMs: 900 }, ms: 5_000, at: 0 },
    ],
    at: 100,
    available: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "backoff of all upstreams: the shortest counts",
    backoffs: [
      { upstream: FIRST, ms: 900, at: 0 },
      { upstream: SECOND, ms: 400, at: 0 },
    ],
    at: 100,
    available: [],
    shortestMs: 300,
  },
  {
    name: "this process was paused: the backoff runs on",
    backoffs: [{ upstream: FIRST, ms: 800, at: 0 }],
    at: 5_000,
    available: ["i-1", "i-2"],
    shortestMs: 0,
  },
];

for (const { name, backoffs, at, available, shortestMs } of ROWS) {
  test(name, () => {
    const backoff = new UpstreamBackoff();
    for (const entry of backoffs) {
      backoff.recordBackoff(entry.upstream, entry.ms, entry.at);
    }
    const upstreams = [FIRST, SECOND];
    assert.equal(
      backoff.listAvailable(upstreams, at).map(({ id }) => id),
      available,
    );
    assert.is(backoff.getShortestRemainingMs(upstreams, at), shortestMs);
  });
}

test("without an upstream there is no shortest backoff", () => {
  assert.is(new UpstreamBackoff().getShortestRemainingMs([], 0), undefined);
});

test.run();
