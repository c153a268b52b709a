import { test } from "uvu";
import * as assert from "uvu/assert";
import { ControlIntervals } from "../../../src/core/membership/control_intervals.ts";
import { StatePublisher } from "../../../src/core/membership/state_publisher.ts";
import type { UpstreamDigest } from "../../../src/core/messages.ts";

function createDigest(upstreamId: string): UpstreamDigest {
  return {
    upstreamId,
    residents: [],
    loading: [],
    creditsInUse: 0,
    waiting: 0,
    victimValue: 0,
    leaving: false,
    up: true,
  };
}

test("an upstream removed together with another change is no longer published", () => {
  const publisher = new StatePublisher(
    "entry-1",
    "i1",
    new ControlIntervals(300),
  );
  publisher.recordOwn(createDigest("engine-1"));
  publisher.takeUpdate(1_000);
  publisher.recordOwn(createDigest("engine-2"));
  publisher.removeOwn("engine-1");
  const update = publisher.takeUpdate(2_000);
  assert.equal(update?.removedUpstreamIds, ["engine-1"]);
});

test.run();
