/**
 * Which configuration is in force while the store goes back to older copies:
 * never an older one because a newer one was lost, and each one that was written
 * after the restore.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ConfigurationDecision,
  ConfigurationOrder,
  LOWER_VERSION_DELAY_MS,
} from "../../../src/core/view/configuration_order.ts";

interface Row {
  name: string;
  /** Writes as [era, revision, version, contentHash], 100 ms apart. */
  writes: [number, number, number, number][];
  /** Decision on the last of them. */
  expected: ConfigurationDecision["kind"];
}

const ROWS: Row[] = [
  { name: "the first one", writes: [[0, 5, 3, 1]], expected: "apply" },
  {
    name: "a higher version",
    writes: [[1, 5, 3, 1], [1, 6, 4, 2]],
    expected: "apply",
  },
  {
    name: "a lower version within an era",
    writes: [[1, 5, 3, 1], [1, 6, 2, 2]],
    expected: "ignore",
  },
  {
    name: "the same version with other content within an era",
    writes: [[1, 5, 3, 1], [1, 6, 3, 2]],
    expected: "ignore",
  },
  {
    name: "the older version of a restored copy",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 5, 10, 1]],
    expected: "ignore",
  },
  {
    name: "the lost version, written again below its former revision",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 5, 10, 1], [2, 60, 20, 2]],
    expected: "ignore",
  },
  {
    name: "a higher version below the lost revision",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 5, 10, 1], [2, 61, 30, 3]],
    expected: "apply",
  },
  {
    name: "the lost version number with other content",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 5, 10, 1], [2, 60, 20, 3]],
    expected: "apply",
  },
  {
    name: "a lower version that was written after the restore",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 5, 10, 1], [2, 60, 11, 3]],
    expected: "defer",
  },
  {
    name: "a lower version that was written before the restore was noticed",
    writes: [[1, 5, 10, 1], [1, 90, 20, 2], [2, 60, 11, 3]],
    expected: "defer",
  },
  {
    name: "a lower version after the lost one was written again",
    writes: [[1, 90, 20, 2], [2, 60, 20, 2], [2, 61, 15, 3]],
    expected: "ignore",
  },
  {
    name: "the copy of a second restore",
    writes: [[1, 5, 10, 1], [2, 60, 20, 2], [3, 5, 10, 1]],
    expected: "ignore",
  },
];

for (const { name, writes, expected } of ROWS) {
  test(`${name}: ${expected}`, () => {
    const order = new ConfigurationOrder();
    const decisions = writes.map(
      ([era, revision, version, contentHash], index) =>
        order.decide({ era, revision, version, contentHash }, 100 * index),
    );
    assert.is(decisions.at(-1)?.kind, expected);
  });
}

test("lower versions that follow each other are due a fixed time after the first", () => {
  const order = new ConfigurationOrder();
  const create = (era: number, revision: number, version: number) => ({
    era,
    revision,
    version,
    contentHash: version,
  });
  order.decide(create(1, 90, 20), 0);
  assert.equal(order.decide(create(2, 60, 11), 1_000), {
    kind: "defer",
    until: 1_000 + LOWER_VERSION_DELAY_MS,
  });
  const second = create(2, 61, 12);
  assert.equal(order.decide(second, 1_400), {
    kind: "defer",
    until: 1_000 + LOWER_VERSION_DELAY_MS,
  });
  order.recordInForce(second);
  assert.is(order.decide(create(2, 62, 13), 2_000).kind, "apply");
});

test.run();
