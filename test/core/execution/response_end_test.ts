/** Which cleanly closed responses are complete, truncated or unproven. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyFraming } from "../../../src/core/execution/body_framing.ts";
import { decideResponseEnd } from "../../../src/core/execution/response_end.ts";

const FRAMED = [BodyFraming.Length, BodyFraming.Chunked, BodyFraming.None];

test("a stream that ends within an event is truncated, however it is framed", () => {
  const stream = { isInEvent: true, eventCount: 2 };
  for (const framing of Object.values(BodyFraming)) {
    assert.is(decideResponseEnd({ framing, stream }).kind, "truncated");
  }
});

test("a framed response is complete", () => {
  const streams = [undefined, { isInEvent: false, eventCount: 0 }];
  for (const framing of FRAMED) {
    for (const stream of streams) {
      assert.is(decideResponseEnd({ framing, stream }).kind, "complete");
    }
  }
});

test("a response that ends with its connection is never complete by itself", () => {
  const framing = BodyFraming.Close;
  const kinds = [
    undefined,
    { isInEvent: false, eventCount: 3 },
    { isInEvent: false, eventCount: 0 },
  ].map((stream) => decideResponseEnd({ framing, stream }).kind);
  assert.equal(kinds, ["unproven", "unproven", "truncated"]);
});

test.run();
