/** What counts as an outage of the store: calls that fail for over a second. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  OUTAGE_THRESHOLD_MS,
  StoreOutage,
} from "../../../src/core/view/store_outage.ts";

interface Row {
  name: string;
  /** Failed calls as [start, end, hasTimedOut]. */
  failures: [number, number, boolean][];
  answeredAt: number;
  expected: boolean;
}

const ROWS: Row[] = [
  {
    name: "an answer after a long watch without changes",
    failures: [],
    answeredAt: 2_000,
    expected: false,
  },
  {
    name: "a watch that had waited for long and was cut",
    failures: [[0, 1_900, false]],
    answeredAt: 2_150,
    expected: false,
  },
  {
    name: "a watch that was cut, and calls that failed for a second after it",
    failures: [[0, 1_900, false], [2_150, 2_160, false]],
    answeredAt: 1_900 + OUTAGE_THRESHOLD_MS + 1,
    expected: true,
  },
  {
    name: "a call without an answer",
    failures: [[0, 2_700, true]],
    answeredAt: 2_950,
    expected: true,
  },
];

for (const { name, failures, answeredAt, expected } of ROWS) {
  test(`${name}: ${expected ? "an outage" : "no outage"}`, () => {
    const outage = new StoreOutage();
    for (const [startedAt, endedAt, hasTimedOut] of failures) {
      outage.recordFailure({ startedAt, hasTimedOut }, endedAt);
    }
    assert.is(outage.failures, failures.length);
    assert.is(outage.recordAnswer(answeredAt), expected);
    assert.is(outage.failures, 0);
    assert.not(outage.recordAnswer(answeredAt + 60_000));
  });
}

test.run();
