/**
 * An upstream sent a head in which the name of a field held a blank or a control
 * character. Its caller got the answer, with that line joined to the one before
 * it, or with a body that was framed in another way than the upstream meant. The
 * gateway rejects such a head whatever its runtime's parser accepts.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import {
  type BrokenAnswerCall,
  CALL_ROUTES,
  CALLS,
  EVENT_STREAM,
  EVENTS,
} from "./broken_answer_calls.ts";
import { runTasks } from "../concurrent_tasks.ts";
import { GatewayHarness } from "./gateway_harness.ts";
import { GatewayProcess } from "./gateway_process.ts";

const harness = new GatewayHarness();
let lenientGateway: GatewayProcess;
/** Requests that run at the same time: fewer than the replicas' slots. */
const CONCURRENCY = 6;
const FRAMINGS = ["length", "chunked", "close"] as const;

/** How the gateways are started, by their index in the harness. */
const RUNTIMES = [
  "with the parser as the deploy file starts it",
  "with a parser that accepts such names",
];

test.before(async () => {
  harness.retrySlack = 1_000_000;
  harness.routeOverrides = CALL_ROUTES;
  await harness.start({ gateways: 1, engines: 1, services: 1 });
  lenientGateway = await GatewayProcess.start(harness, 1, [
    "--insecure-http-parser",
  ]);
  await harness.waitFor(async () =>
    (await harness.call("/brief/1", { gateway: 1 })).status === 200
  );
});
test.after(async () => {
  lenientGateway.stop();
  await harness.stop();
});

/** Lines that are no fields, without their line ends. */
const LINES = [
  "X Load: 1",
  "X-Load : 1",
  " X-Load: 1",
  "\tX-Load: 1",
  "  : 1",
  "X\0Load: 1",
  "X-Load\x01: 1",
  "\x1bX-Load: 1",
  "X\x7fLoad: 1",
  "X\rLoad: 1",
  "X\nLoad: 1",
  "\rX-Load: 1",
  "Content-Length : 9",
  " Content-Length: 9",
  "Transfer-Encoding : chunked",
  "\tTransfer-Encoding: chunked",
  "Connection\t: keep-alive",
];

/** Returns the part of an answer that holds the line, by its place. */
const PLACES: Record<string, (line: string) => Partial<ScriptedAnswer>> = {
  "first in the head": (line) => ({
    statusLine: `HTTP/1.1 200 OK\r\n${line}`,
    headers: EVENT_STREAM,
  }),
  "last in the head": (line) => ({
    headers: { ...EVENT_STREAM, ...parseLine(line) },
  }),
  "behind the framing": (line) => ({ headers: parseLine(line) }),
  "in an interim head": (line) => ({
    statusLine:
      `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n${line}\r\n\r\nHTTP/1.1 200 OK`,
    headers: EVENT_STREAM,
  }),
  "first in an interim head": (line) => ({
    statusLine: `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\nHTTP/1.1 200 OK`,
    headers: EVENT_STREAM,
  }),
};

function parseLine(line: string): Record<string, string> {
  const colon = line.indexOf(":");
  return { [line.slice(0, colon)]: line.slice(colon + 1).trim() };
}

let lastNumber = 0;

function createId(): string {
  lastNumber += 1;
  return `broken-${lastNumber}`;
}

/** Checks that the broken answer, or what is left of it, reaches no caller. */
async function checkRejected(
  gateway: number,
  { path, method, earlier }: BrokenAnswerCall,
  broken: ScriptedAnswer,
): Promise<void> {
  const id = createId();
  harness.scriptAnswers(id, [...earlier, broken]);
  const answer = await harness.call(path, { gateway, id, method });
  const detail = JSON.stringify({ path, broken, answer });
  const isResumed = earlier.length > 0;
  assert.is(answer.status, isResumed ? 200 : 502, detail);
  assert.is(answer.isComplete, !isResumed, detail);
  if (isResumed) assert.is(answer.body, EVENTS[0], detail);
  else assert.not.match(answer.body, /load|chunked|length|keep/i);
  assert.is(harness.countRuns(id), earlier.length + 1, detail);
  assert.not.match(JSON.stringify(answer.headers), /load/i);
}

for (const [gateway, runtime] of RUNTIMES.entries()) {
  for (const [place, putLine] of Object.entries(PLACES)) {
    for (const call of CALLS) {
      test(`${call.path}, ${runtime}: a head with a broken name becomes an answer: ${place}`, async () => {
        const tasks = LINES.flatMap((line) =>
          FRAMINGS.flatMap((framing) =>
            [undefined, 1].map((headPieceBytes) => async () => {
              // Pieces take a millisecond each.
              if (headPieceBytes && framing !== "close") return;
              await checkRejected(gateway, call, {
                framing,
                body: EVENTS.join(""),
                end: framing === "close" ? "close" : "keep",
                ...(headPieceBytes ? { headPieceBytes } : {}),
                ...putLine(line),
              });
            })
          )
        );
        await runTasks(tasks, CONCURRENCY);
      });
    }
  }

  test(`${runtime}: a broken name on a kept connection becomes an answer`, async () => {
    for (const line of LINES) {
      const whole: ScriptedAnswer = {
        framing: "length",
        body: "whole",
        end: "keep",
      };
      const ids = [createId(), createId()];
      harness.scriptAnswers(ids[0] ?? "", [whole]);
      harness.scriptAnswers(ids[1] ?? "", [{
        ...whole,
        headers: { "X-Note": "a", ...parseLine(line) },
      }]);
      const statuses: number[] = [];
      for (const id of ids) {
        const answer = await harness.call("/safe/1", { gateway, id });
        statuses.push(answer.status);
      }
      assert.equal(statuses, [200, 502], JSON.stringify(line));
      const [first, second] = ids.map((id) =>
        harness.listRuns(id)[0]?.remotePort
      );
      assert.is(first, second, "the connection is reused");
    }
  });

  for (const call of CALLS) {
    test(`${call.path}, ${runtime}: a field behind carriage returns in place of a line end is passed on`, async () => {
      for (const status of ["200 OK", "200 ", "200", "103 Early Hints"]) {
        for (const ends of ["\r\r", "\r\r\r\n", " \r\r"]) {
          const rest = status.startsWith("103")
            ? "\r\n\r\nHTTP/1.1 200 OK"
            : "";
          await checkRejected(gateway, call, {
            framing: "length",
            statusLine: `HTTP/1.1 ${status}${ends}X-Load: 1${rest}`,
            headers: EVENT_STREAM,
            body: EVENTS.join(""),
            end: "close",
          });
        }
      }
    });

    test(`${call.path}, ${runtime}: a broken name in trailers spoils the answer, or is passed on`, async () => {
      const rest = call.earlier.length > 0 ? EVENTS.slice(1) : EVENTS;
      const tasks = LINES.map((line) => async () => {
        const id = createId();
        harness.scriptAnswers(id, [...call.earlier, {
          framing: "chunked",
          headers: EVENT_STREAM,
          body: rest.join(""),
          trailers: `X-Note: a\r\n${line}\r\n`,
          end: "close",
        }]);
        const { path, method } = call;
        const answer = await harness.call(path, { gateway, id, method });
        const detail = JSON.stringify({ line, answer });
        const isWhole = answer.status === 200 && answer.isComplete;
        // The body ends before its trailers, which are dropped.
        if (isWhole) assert.is(answer.body, EVENTS.join(""), detail);
        if (gateway === 0) assert.not.ok(isWhole, detail);
        assert.not.match(JSON.stringify(answer.headers), /note|load/i);
      });
      await runTasks(tasks, CONCURRENCY);
    });
  }
}

test.run();
