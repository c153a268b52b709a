/**
 * An upstream answers a long upload at once, without a length, sends a part of
 * the body and resets the connection while the upload is still being written.
 * The part is no complete answer: neither the error of the write nor the order
 * in which it and the end of the answer are seen may hide the reset.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { runTasks } from "../concurrent_tasks.ts";
import {
  type BrokenAnswerCall,
  CALL_ROUTES,
  CALLS,
  EVENT_STREAM,
  EVENTS,
} from "./broken_answer_calls.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** More than the buffers of a connection hold: its end waits to be written. */
const UPLOAD = "x".repeat(8_000_000);
const REPETITIONS = 6;
/** Uploads at the same time, within the budget of memory. */
const CONCURRENCY = 2;

test.before(async () => {
  harness.retrySlack = 1_000_000;
  harness.maxBodyBytes = 10_000_000;
  harness.routeOverrides = CALL_ROUTES;
  await harness.start({ gateways: 1, engines: 1, services: 1 });
});
test.after(() => harness.stop());

/** Parts of the body that are sent: whole events, and none at all. */
const PARTS: Record<string, Partial<ScriptedAnswer>> = {
  "no body": { body: "" },
  "whole events": { body: EVENTS.join("") },
  "a part of an event": { body: EVENTS.join("").slice(0, -4) },
  "many pieces": { body: EVENTS.join("").repeat(40), pieceBytes: 100 },
};
const FRAMINGS = [
  { name: "close", fields: {} },
  {
    name: "neither length nor close",
    fields: { headers: { ...EVENT_STREAM, Connection: "keep-alive" } },
  },
  { name: "HTTP/1.0", fields: { statusLine: "HTTP/1.0 200 OK" } },
] as const;
const ENDS = ["reset", "resetAtOnce"] as const;

const CALLS_WITH_UPLOAD: BrokenAnswerCall[] = [
  ...CALLS,
  { path: "/safe/1", method: "POST", earlier: [] },
];

let lastNumber = 0;

for (const { path, method, earlier } of CALLS_WITH_UPLOAD) {
  for (const [part, fields] of Object.entries(PARTS)) {
    test(`${method} ${path}: a part of an answer, reset during the upload, looks complete: ${part}`, async () => {
      const tasks = FRAMINGS.flatMap((framing) =>
        ENDS.flatMap((end) =>
          Array.from({ length: REPETITIONS }, () => async () => {
            lastNumber += 1;
            const id = `upload-${lastNumber}`;
            harness.scriptAnswers(id, [...earlier, {
              framing: "close",
              headers: EVENT_STREAM,
              body: "",
              end,
              isEarly: true,
              ...framing.fields,
              ...fields,
            }]);
            const answer = await harness.call(path, {
              id,
              method,
              // Without it, Node.js frames no body of a GET.
              headers: { "Content-Length": String(UPLOAD.length) },
              body: UPLOAD,
            });
            const detail = `${framing.name}, ${end}, ${answer.status}`;
            const isSuccess = answer.status === 200 && answer.isComplete;
            assert.not.ok(isSuccess, detail);
            if (answer.status !== 200) assert.is(answer.status, 502, detail);
            assert.is(harness.countRuns(id), earlier.length + 1, detail);
          })
        )
      );
      await runTasks(tasks, CONCURRENCY);
    });
  }
}

test.run();
