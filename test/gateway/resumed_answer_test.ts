/**
 * A resumable stream breaks off after its second event, and the next replica
 * answers with something else than the rest of the stream. The caller gets the
 * events of the stream, each once and in order, and nothing else; the stream is
 * complete only with all of them.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { buildPlatformRoute } from "../../fakes/platform_configuration.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const EVENTS = [1, 2, 3, 4].map((event) =>
  `id: ${event}\ndata: piece ${event}\n\n`
);
const WHOLE = EVENTS.join("");
const REST = EVENTS.slice(2).join("");
const EVENT_STREAM = { "Content-Type": "text/event-stream" };

test.before(async () => {
  harness.retrySlack = 1_000;
  harness.routeOverrides = { resume: { resumable: true, attempts: 2 } };
  harness.arrange = () =>
    harness.publish([
      buildPlatformRoute("resume3", "stream", "briefs", {
        resumable: true,
        attempts: 3,
      }),
    ]);
  await harness.start({ gateways: 1, engines: 3, services: 1 });
});
test.after(() => harness.stop());

test("a stream without ids that broke off is not begun anew", async () => {
  const events = EVENTS.map((event) => event.replace(/id: \d\n/, ""));
  const first = { ...BROKEN, body: events.join(""), sentBytes: 20 };
  const second = { ...first, sentBytes: events.join("").length };
  harness.scriptAnswers("without-ids", [first, second]);
  const answer = await harness.call("/resume/1", { id: "without-ids" });
  assert.not.ok(answer.isComplete);
  assert.is(answer.body, events[0]);
});

const BROKEN: ScriptedAnswer = {
  framing: "chunked",
  headers: EVENT_STREAM,
  body: WHOLE,
  sentBytes: EVENTS.slice(0, 2).join("").length + 4,
  end: "close",
};

interface SecondRow {
  name: string;
  second: Partial<ScriptedAnswer>;
  /** Whether the stream is complete in the end. */
  isComplete: boolean;
}

const ROWS: SecondRow[] = [
  {
    name: "the rest of the stream",
    second: { body: REST, headers: EVENT_STREAM },
    isComplete: true,
  },
  {
    name: "an interim answer and the rest of the stream",
    second: {
      statusLine:
        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 200 OK",
      headers: EVENT_STREAM,
      body: REST,
    },
    isComplete: true,
  },
  {
    name: "a refusal, after which a third replica goes on",
    second: {
      statusLine: "HTTP/1.1 503 Service Unavailable",
      headers: { "X-Not-Run": "1" },
      body: "full",
    },
    isComplete: true,
  },
  {
    name: "an error with a text",
    second: { statusLine: "HTTP/1.1 500 Internal Server Error", body: "oops" },
    isComplete: false,
  },
  {
    name: "an error whose body has the form of events",
    second: {
      statusLine: "HTTP/1.1 500 Internal Server Error",
      headers: EVENT_STREAM,
      body: "id: 3\ndata: the error\n\n",
    },
    isComplete: false,
  },
  {
    name: "an error of the caller's side",
    second: {
      statusLine: "HTTP/1.1 404 Not Found",
      headers: EVENT_STREAM,
      body: "id: 3\ndata: not found\n\n",
    },
    isComplete: false,
  },
  {
    name: "a redirection",
    second: {
      statusLine: "HTTP/1.1 302 Found",
      headers: { Location: "/elsewhere" },
      body: "",
    },
    isComplete: false,
  },
  {
    name: "an answer without content",
    second: { statusLine: "HTTP/1.1 204 No Content", body: "" },
    isComplete: false,
  },
  {
    name: "a part of a representation",
    second: { statusLine: "HTTP/1.1 206 Partial Content", body: REST },
    isComplete: false,
  },
  {
    name: "a success that is no stream",
    second: {
      headers: { "Content-Type": "text/html" },
      body: "<p>maintenance</p>\n\n",
    },
    isComplete: false,
  },
  {
    name: "a success without stamp and id",
    second: { isAnonymous: true, headers: EVENT_STREAM, body: REST },
    isComplete: false,
  },
  {
    name: "the stream from its beginning",
    second: { headers: EVENT_STREAM, body: WHOLE },
    isComplete: false,
  },
  {
    name: "a switch of protocols",
    second: {
      statusLine: "HTTP/1.1 101 Switching Protocols",
      headers: { Connection: "Upgrade", Upgrade: "other" },
      body: REST,
    },
    isComplete: false,
  },
];

test("a third replica goes on after the last event that the caller has, not after those of an answer that was dropped", async () => {
  const id = "third-replica";
  const fromBeginning = { ...BROKEN, sentBytes: WHOLE.length };
  const rest = { ...BROKEN, body: REST, sentBytes: REST.length };
  harness.scriptAnswers(id, [BROKEN, fromBeginning, rest]);
  const answer = await harness.callRaw("/resume3/1", {
    httpVersion: "1.1",
    id,
  });
  assert.ok(answer.isComplete);
  assert.is(answer.body, WHOLE);
  const resumedAfter = harness.listRuns(id)
    .map((run) => run.headers["last-event-id"] ?? "");
  assert.equal(resumedAfter.sort(), ["", "2", "2"]);
});

for (const httpVersion of ["1.1", "1.0"] as const) {
  for (const framing of ["length", "chunked", "close"] as const) {
    for (const { name, second, isComplete } of ROWS) {
      const title = `${name}, framing ${framing}, HTTP/${httpVersion} caller`;
      test(`a stream that broke off goes on with nothing but its events: ${title}`, async () => {
        const id = `resumed-${name}-${framing}-${httpVersion}`
          .replaceAll(/[^a-z0-9-]/g, "-");
        harness.scriptAnswers(id, [
          BROKEN,
          { framing, body: "", end: "close", ...second },
        ]);
        const answer = await harness.callRaw("/resume/1", { httpVersion, id });
        assert.is(answer.status, 200);
        assert.is(answer.isComplete, isComplete);
        assert.ok(WHOLE.startsWith(answer.body), JSON.stringify(answer.body));
        if (isComplete) assert.is(answer.body, WHOLE);
        if (!isComplete) assert.is.not(answer.body, WHOLE);
      });
    }
  }
}

test.run();
