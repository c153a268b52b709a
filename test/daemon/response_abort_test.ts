/**
 * How the daemon breaks off streams for callers that speak HTTP/1.0, for whom a
 * plain close is the end of a complete stream.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ContractBench, TOKENS } from "../contracts/contract_bench.ts";
import { callRaw, type RawAnswer } from "../raw_caller.ts";

const bench = new ContractBench({ engines: 1 });

test.before(() => bench.start());
test.after(() => bench.stop());

function streamRaw(): Promise<RawAnswer> {
  return callRaw({
    host: "127.0.0.1",
    port: bench.callersPort,
    path: "/v1/chat/completions",
    httpVersion: "1.0",
    headers: {
      authorization: `Bearer ${TOKENS.derwent}`,
      "content-type": "application/json",
    },
    requestBody: JSON.stringify({ model: "briefing", stream: true }),
  });
}

test("a whole stream ends with a plain close for an HTTP/1.0 caller", async () => {
  const answer = await streamRaw();
  assert.is(answer.status, 200);
  assert.not.ok(answer.head.includes("chunked"));
  assert.ok(answer.isComplete);
  assert.ok(answer.body.includes("data: [DONE]"));
});

test("a stream that its engine broke off is no complete stream for an HTTP/1.0 caller", async () => {
  bench.engines[0]?.faults.nextRuns.push({ kind: "omitEndMark" });
  const answer = await streamRaw();
  assert.is(answer.status, 200);
  assert.not.ok(answer.isComplete);
});

test.run();
