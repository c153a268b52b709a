/** Backoff times of upstreams towards this host, one row per case. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamBackoff } from "../../../src/core/placement/upstream_backoff.ts";

const FIRST = { id: "i-1", bornAtUnixMs: 1_000 };
const SECOND = { id: "i-2", bornAtUnixMs: 1_000 };

interface Row {
  name: string;
  notices: { upstream: typeof FIRST; ms: number; at: number }[];
  at: number;
  open: string[];
  shortestMs: number;
}

const ROWS: Row[] = [
  {
    name: "no notice",
    notices: [],
    at: 0,
    open: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "one of two named a time",
    notices: [{ upstream: FIRST, ms: 800, at: 100 }],
    at: 899,
    open: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "the time is over",
    notices: [{ upstream: FIRST, ms: 800, at: 100 }],
    at: 900,
    open: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "a shorter time does not end a longer one",
    notices: [
      { upstream: FIRST, ms: 2_000, at: 0 },
      { upstream: FIRST, ms: 100, at: 500 },
    ],
    at: 1_500,
    open: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "a longer one extends a shorter one",
    notices: [
      { upstream: FIRST, ms: 300, at: 0 },
      { upstream: FIRST, ms: 900, at: 200 },
    ],
    at: 1_000,
    open: ["i-2"],
    shortestMs: 0,
  },
  {
    name: "another start has named none",
    notices: [
      { upstream: { ...FIRST, bornAtUnixMs: 900 }, ms: 5_000, at: 0 },
    ],
    at: 100,
    open: ["i-1", "i-2"],
    shortestMs: 0,
  },
  {
    name: "all have named one: the shortest counts",
    notices: [
      { upstream: FIRST, ms: 900, at: 0 },
      { upstream: SECOND, ms: 400, at: 0 },
    ],
    at: 100,
    open: [],
    shortestMs: 300,
  },
  {
    name: "a pause of this host: its clock stood still, the time runs on",
    notices: [{ upstream: FIRST, ms: 800, at: 0 }],
    at: 5_000,
    open: ["i-1", "i-2"],
    shortestMs: 0,
  },
];

for (const { name, notices, at, open, shortestMs } of ROWS) {
  test(name, () => {
    const backoff = new UpstreamBackoff();
    for (const notice of notices) {
      backoff.recordBackoff(notice.upstream, notice.ms, notice.at);
    }
    const upstreams = [FIRST, SECOND];
    assert.equal(
      backoff.listAvailable(upstreams, at).map(({ id }) => id),
      open,
    );
    assert.is(backoff.getShortestRemainingMs(upstreams, at), shortestMs);
  });
}

test("without an upstream there is no shortest time", () => {
  assert.is(new UpstreamBackoff().getShortestRemainingMs([], 0), undefined);
});

test.run();
