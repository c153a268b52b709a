/**
 * Guards against port collisions of test files that start their search at the
 * same range.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { reservePorts } from "./port_reservation.ts";

/** One of the last of the 200 ranges, where other tests hardly ever start. */
const START_INDEX = 197;

test("a reserved range is skipped, and a released one can be reserved again", async () => {
  const first = await reservePorts(START_INDEX);
  const second = await reservePorts(START_INDEX);
  assert.is.not(first.port, second.port);
  first.release();
  const third = await reservePorts(START_INDEX);
  assert.is(third.port, first.port);
  second.release();
  third.release();
});

test.run();
