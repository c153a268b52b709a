/**
 * An upstream that stopped in the middle of its answer's head and closed: its
 * caller got a 200 with an empty or short body, framed as whole. Cut at each
 * offset, a head never becomes an answer, whatever framing it names.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import {
  formatHead,
  type ScriptedAnswer,
} from "../../fakes/scripted_answer.ts";
import type { RawAnswer } from "../raw_caller.ts";
import { runTasks } from "../concurrent_tasks.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** Requests that run at the same time: fewer than the replicas' slots. */
const CONCURRENCY = 6;
/** Their length has two digits, of which the first alone is a number, too. */
const EVENTS = ["id: 1\ndata: piece 1\n\n", "id: 2\ndata: piece 2\n\n"];
const EVENT_STREAM = { "Content-Type": "text/event-stream" };

test.before(async () => {
  harness.retrySlack = 100_000;
  harness.routeOverrides = {
    safe: { attempts: 1 },
    resume: { resumable: true, attempts: 2 },
  };
  await harness.start({ gateways: 1, engines: 1, services: 1 });
});
test.after(() => harness.stop());

/** Forms of a head, each with what stands in place of its status line. */
const HEADS: { form: string; answer: Partial<ScriptedAnswer> }[] = [
  { form: "HTTP/1.1", answer: {} },
  { form: "HTTP/1.0", answer: { statusLine: "HTTP/1.0 200 OK" } },
  { form: "bare line feeds", answer: { headLineEnd: "\n" } },
  {
    form: "interim answer and head",
    answer: {
      statusLine:
        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 200 OK",
    },
  },
];

/** Lists the answer cut at each offset of its head, the last byte included. */
function listCuts(
  answer: ScriptedAnswer,
  replica: FakePlatformReplica | undefined,
): ScriptedAnswer[] {
  if (!replica) throw new Error("expected a replica");
  const { length } = formatHead(answer, {
    "X-Request-Id": createId(),
    "X-Response-Stamp": `by-${replica.id}`,
  });
  return Array.from(
    { length },
    (_, sentHeadBytes) => ({ ...answer, sentHeadBytes }),
  );
}

interface CutRow {
  path: string;
  /** Attempts before the one whose head is cut. */
  earlier: ScriptedAnswer[];
  check: (answer: RawAnswer, detail: string) => void;
}

function checkFailed(answer: RawAnswer, detail: string): void {
  assert.is(answer.status, 502, detail);
  assert.ok(answer.isComplete, detail);
}

const ROWS: CutRow[] = [
  { path: "/unsafe/1", earlier: [], check: checkFailed },
  { path: "/brief/1", earlier: [], check: checkFailed },
  {
    path: "/resume/1",
    earlier: [{
      framing: "chunked",
      headers: EVENT_STREAM,
      body: EVENTS.join(""),
      sentBytes: (EVENTS[0] ?? "").length + 3,
      end: "close",
    }],
    check: (answer, detail) => {
      assert.is(answer.status, 200, detail);
      assert.not(answer.isComplete, detail);
      assert.is(answer.body, EVENTS[0], detail);
    },
  },
];

for (const { path, earlier, check } of ROWS) {
  for (const { form, answer: head } of HEADS) {
    test(`${path}: a part of a head is an answer: ${form}`, async () => {
      const [replica] = path === "/unsafe/1"
        ? harness.services
        : harness.engines;
      const tasks = (["length", "chunked", "close"] as const)
        .flatMap((framing) =>
          (["close", "resetAtOnce"] as const).flatMap((end) => {
            const whole: ScriptedAnswer = {
              framing,
              body: EVENTS.join(""),
              end,
              ...head,
            };
            return listCuts(whole, replica).map((cut, offset) => async () => {
              const detail = `${framing}, ${end}, ${offset}`;
              const key = createId();
              harness.scriptAnswers(key, [...earlier, cut]);
              check(
                await harness.callRaw(path, { httpVersion: "1.1", id: key }),
                detail,
              );
            });
          })
        );
      await runTasks(tasks, CONCURRENCY);
    });
  }
}

let lastNumber = 0;

/** Returns an id of always the same length, so that heads have one, too. */
function createId(): string {
  lastNumber += 1;
  return String(lastNumber).padStart(16, "0");
}

for (const framing of ["length", "chunked", "close"] as const) {
  test(`/safe/1: a part of a head is an answer on a kept connection: framing ${framing}`, async () => {
    const [service] = harness.services;
    if (!service) throw new Error("expected a service");
    const whole: ScriptedAnswer = {
      framing,
      body: EVENTS.join(""),
      end: "close",
    };
    const cuts = (["close", "resetAtOnce"] as const)
      .flatMap((end) => listCuts({ ...whole, end }, service));
    for (const cut of cuts) {
      const first = createId();
      harness.scriptAnswers(first, [{
        ...whole,
        framing: "length",
        end: "keep",
      }]);
      assert.is((await harness.call("/safe/1", { id: first })).status, 200);
      const second = createId();
      harness.scriptAnswers(second, [cut]);
      const answer = await harness.callRaw("/safe/1", {
        httpVersion: "1.1",
        id: second,
      });
      checkFailed(answer, `${cut.end}, ${cut.sentHeadBytes}`);
      const [firstPort, secondPort] = [first, second]
        .map((id) => harness.listRuns(id)[0]?.remotePort);
      assert.is(firstPort, secondPort, "the connection is reused");
    }
  });
}

test("an answer that switches protocols leaves its caller without an answer", async () => {
  for (const path of ["/unsafe/1", "/brief/1"]) {
    const id = createId();
    harness.scriptAnswers(id, [{
      statusLine: "HTTP/1.1 101 Switching Protocols",
      headers: { Connection: "Upgrade", Upgrade: "other" },
      framing: "length",
      body: "",
      end: "keep",
    }]);
    const startedAt = performance.now();
    const answer = await harness.callRaw(path, { httpVersion: "1.1", id });
    assert.is(answer.status, 502);
    assert.ok(performance.now() - startedAt < 1_000);
  }
});

test.run();
