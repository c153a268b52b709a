/**
 * Every way in which an upstream's stream can end, at each offset: framing, line
 * end, how the connection ends, the caller's HTTP version. A stream is complete
 * for its caller only if it is whole.
 */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { runTasks } from "../concurrent_tasks.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const LINE_ENDS = ["\n", "\r\n", "\r"];
/** Streams that run at the same time: as many as the engines' slots. */
const CONCURRENCY = 12;

test.before(() => harness.start({ gateways: 1, engines: 2, services: 1 }));
test.after(() => harness.stop());

function buildEvents(lineEnd: string): string[] {
  return [1, 2].map((event) =>
    [`id: ${event}`, `data: \u00e9${event}`, ""]
      .map((line) => `${line}${lineEnd}`).join("")
  );
}

for (const framing of ["length", "chunked", "close"] as const) {
  for (const end of ["close", "reset"] as const) {
    for (const httpVersion of ["1.1", "1.0"] as const) {
      test(`a stream cut at any offset is complete only if it is whole: framing ${framing}, ${end}, HTTP/${httpVersion} caller`, async () => {
        const tasks = LINE_ENDS.flatMap((lineEnd) => {
          const events = buildEvents(lineEnd);
          const body = events.join("");
          const length = Buffer.byteLength(body);
          const boundary = Buffer.byteLength(events[0] ?? "");
          return Array.from({ length: length + 1 }, (_, sentBytes) => {
            const script: ScriptedAnswer = {
              framing,
              body,
              sentBytes,
              end,
              pieceBytes: 8,
            };
            const id = [framing, end, httpVersion, lineEnd.length, sentBytes]
              .join("-") + lineEnd.charCodeAt(0);
            return async () => {
              harness.scriptAnswers(id, [script]);
              const answer = await harness.callRaw("/brief/1", {
                httpVersion,
                id,
              });
              // An upstream that lives on and closes between two events can't
              // be told from one whose stream is whole.
              const isTraceless = framing === "close" && end === "close" &&
                sentBytes === boundary;
              if (isTraceless) return;
              // A reset after the last byte of a framed stream cuts nothing off.
              const isWhole = sentBytes === length &&
                (framing !== "close" || end === "close");
              const isComplete = answer.status === 200 && answer.isComplete;
              assert.is(isComplete, isWhole, `${id}: ${answer.status}`);
              const isPrefix = answer.status !== 200 ||
                Buffer.from(body).toString("latin1").startsWith(answer.body);
              assert.ok(isPrefix, id);
            };
          });
        });
        await runTasks(tasks, CONCURRENCY);
      });
    }
  }
}

for (const framing of ["length", "chunked", "close"] as const) {
  for (const httpVersion of ["1.1", "1.0"] as const) {
    test(`a stream whose deadline passes at any offset is never complete: framing ${framing}, HTTP/${httpVersion} caller`, async () => {
      const body = buildEvents("\n").join("");
      const length = Buffer.byteLength(body);
      // The last byte of a length ends the stream; the last one of the others
      // does not.
      const maxBytes = framing === "length" ? length - 1 : length;
      const tasks = Array.from({ length: maxBytes }, (_, sentBytes) => {
        const id = `deadline-${framing}-${httpVersion}-${sentBytes}`;
        return async () => {
          harness.scriptAnswers(id, [{
            framing,
            // Another event follows that is never sent.
            body: framing === "length" ? body : `${body}id: 3\n\n`,
            sentBytes,
            end: "keep",
          }]);
          const answer = await harness.callRaw("/brief/1", {
            httpVersion,
            id,
            headers: { "X-Deadline-Ms": "400" },
          });
          const isComplete = answer.status === 200 && answer.isComplete;
          assert.not.ok(isComplete, id);
        };
      });
      await runTasks(tasks, CONCURRENCY);
    });
  }
}

/** More than the gateway writes ahead of a slow caller. */
const BACKLOG_EVENTS = 40;
const LONG_EVENT = `data: ${"x".repeat(40_000)}\n\n`;

for (const framing of ["length", "chunked", "close"] as const) {
  for (const httpVersion of ["1.1", "1.0"] as const) {
    test(`a stream that ends while its caller reads nothing is complete only if it is whole: framing ${framing}, HTTP/${httpVersion} caller`, async () => {
      const body = LONG_EVENT.repeat(BACKLOG_EVENTS);
      const cuts = [body.length, body.length - 1, LONG_EVENT.length * 30 + 9];
      await runTasks(
        cuts.map((sentBytes) => async () => {
          const id = `slow-${framing}-${httpVersion}-${sentBytes}`;
          harness.scriptAnswers(id, [{
            framing,
            body,
            sentBytes,
            end: "close",
          }]);
          const answer = await harness.callRaw("/brief/1", {
            httpVersion,
            id,
            pauseMs: 500,
          });
          assert.is(answer.status, 200);
          assert.is(answer.isComplete, sentBytes === body.length, id);
          assert.ok(body.startsWith(answer.body), id);
        }),
        CONCURRENCY,
      );
    });
  }
}

test.run();
