/**
 * Callers that speak HTTP/1.0 get no chunks: for them a plain close is the end of
 * a complete stream.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const EVENTS = [1, 2, 3, 4].map((event) => `id: ${event}\ndata: piece\n\n`);

test.before(() => harness.start({ gateways: 1, engines: 2, services: 1 }));
test.after(() => harness.stop());

test("a whole stream ends with a plain close for an HTTP/1.0 caller", async () => {
  const answer = await harness.callRaw("/brief/1", { httpVersion: "1.0" });
  assert.is(answer.status, 200);
  assert.not.ok(answer.head.includes("chunked"));
  assert.ok(answer.isComplete);
  assert.is(answer.body.match(/data: piece \d\n\n/g)?.length, 4);
});

for (const framing of ["length", "chunked", "close"] as const) {
  test(`a stream with framing ${framing} that breaks off after two events is no complete stream for an HTTP/1.0 caller`, async () => {
    const id = `http10-${framing}`;
    harness.scriptAnswers(id, [{
      framing,
      body: EVENTS.join(""),
      sentBytes: EVENTS.slice(0, 2).join("").length + 3,
      pieceBytes: 10,
      end: "close",
    }]);
    const answer = await harness.callRaw("/brief/1", {
      httpVersion: "1.0",
      id,
    });
    assert.is(answer.status, 200);
    assert.not.ok(answer.isComplete);
  });
}

test("a stream that is under way when the gateway's grace ends is no complete stream for an HTTP/1.0 caller", async () => {
  const id = "http10-stop";
  harness.scriptAnswers(id, [{
    framing: "chunked",
    body: EVENTS.join(""),
    sentBytes: EVENTS.slice(0, 2).join("").length,
    end: "keep",
  }]);
  const answer = await harness.callRaw("/brief/1", {
    httpVersion: "1.0",
    id,
    headers: { "X-Deadline-Ms": "20000" },
    onBody: () => void harness.gateways[0]?.stop(),
  });
  assert.is(answer.status, 200);
  assert.not.ok(answer.isComplete);
});

test.run();
