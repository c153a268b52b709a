/**
 * An upstream framed its answer in a transfer coding that the parser does not
 * decode, or took for another one: "chunked" with a tab behind it, a list, other
 * codings. The caller got the coded bytes, chunk sizes among them, as a whole
 * answer.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type BrokenAnswerCall,
  CALL_ROUTES,
  CALLS,
  EVENT_STREAM,
  EVENTS,
} from "./broken_answer_calls.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();

test.before(async () => {
  harness.retrySlack = 1_000_000;
  harness.routeOverrides = CALL_ROUTES;
  await harness.start({ gateways: 1, engines: 1, services: 1 });
});
test.after(() => harness.stop());

/** Fields of answers whose body is sent in chunks. */
const UNDECODABLE: Record<string, string>[] = [
  { "Transfer-Encoding": "chunked\t" },
  { "Transfer-Encoding": "chunked\t " },
  { "Transfer-Encoding": "chunked," },
  { "Transfer-Encoding": "chunked ," },
  { "Transfer-Encoding": "chunked;a=b" },
  { "Transfer-Encoding": '"chunked"' },
  { "Transfer-Encoding": "chunked, chunked" },
  { "Transfer-Encoding": "gzip, chunked" },
  { "Transfer-Encoding": "chunked, gzip" },
  { "Transfer-Encoding": "gzip" },
  { "Transfer-Encoding": "" },
  { "Transfer-Encoding": "chunked", "transfer-encoding": "chunked" },
  { "Transfer-Encoding": "chunked", "transfer-encoding": "gzip" },
  { "Transfer-Encoding": "gzip", "transfer-encoding": "chunked" },
];

const DECODABLE = [
  "chunked",
  "Chunked",
  "chunked  ",
  "\tchunked",
];

let lastNumber = 0;

async function call(
  { path, method, earlier }: BrokenAnswerCall,
  headers: Record<string, string>,
) {
  lastNumber += 1;
  const id = `coding-${lastNumber}`;
  harness.scriptAnswers(id, [...earlier, {
    framing: "chunked",
    headers: { ...EVENT_STREAM, ...headers },
    body: earlier.length > 0 ? EVENTS[1] ?? "" : EVENTS.join(""),
    end: "close",
  }]);
  const answer = await harness.call(path, { id, method });
  assert.is(harness.countRuns(id), earlier.length + 1);
  return answer;
}

for (const row of CALLS) {
  test(`${row.path}: coded bytes are passed on as the body`, async () => {
    for (const headers of UNDECODABLE) {
      const answer = await call(row, headers);
      const detail = JSON.stringify({ headers, answer });
      const isResumed = row.earlier.length > 0;
      assert.is(answer.status, isResumed ? 200 : 502, detail);
      assert.is(answer.isComplete, !isResumed, detail);
      if (isResumed) assert.is(answer.body, EVENTS[0], detail);
    }
  });

  test(`${row.path}: an answer in chunks is rejected`, async () => {
    for (const coding of DECODABLE) {
      const answer = await call(row, { "Transfer-Encoding": coding });
      const detail = JSON.stringify({ coding, answer });
      assert.is(answer.status, 200, detail);
      assert.ok(answer.isComplete, detail);
      assert.is(answer.body, EVENTS.join(""), detail);
    }
  });
}

test.run();
