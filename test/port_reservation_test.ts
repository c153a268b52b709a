/** Test files that draw the same span of ports do not meet. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { reservePorts } from "./port_reservation.ts";

/** Of the two hundred; the last ones are drawn by hardly anybody else. */
const START = 197;

test("a span that is taken is passed over, one that is released is free again", async () => {
  const first = await reservePorts(START);
  const second = await reservePorts(START);
  assert.is.not(first.port, second.port);
  first.release();
  const third = await reservePorts(START);
  assert.is(third.port, first.port);
  second.release();
  third.release();
});

test.run();
