/**
 * Streams with several chunk boundaries and line ends: only complete events are
 * forwarded, each as soon as it is complete, and a stream that is cut is complete
 * only where an event ends.
 */
import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "../../../src/core/execution/event_splitter.ts";
import { UNLIMITED_MEMORY } from "../../unlimited_memory.ts";

const LIMITS = { maxBytes: 1_048_576, memory: UNLIMITED_MEMORY };

test("an event that arrives in two chunks is forwarded when complete", () => {
  const splitter = new EventSplitter(LIMITS);
  assert.is(splitter.push(Buffer.from("id: 1\nda")).toString(), "");
  assert.is(
    splitter.push(Buffer.from("ta: a\n\nid: 2\n")).toString(),
    "id: 1\ndata: a\n\n",
  );
  assert.is(splitter.lastEventId, "1");
  assert.is(splitter.takeRest().toString(), "id: 2\n");
});

test("the last id that counts is that of the last complete event", () => {
  const splitter = new EventSplitter(LIMITS);
  splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda"));
  assert.is(splitter.lastEventId, "8");
});

test("a stream that breaks within an event resumes without the incomplete event", () => {
  const splitter = new EventSplitter(LIMITS);
  const first = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  splitter.takeRest();
  const second = splitter.push(Buffer.from("id: 2\ndata: b\n\n"));
  assert.is(`${first}${second}`, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
});

test("bytes end in an event unless only a complete event or white space precedes", () => {
  const cases: [string, boolean][] = [
    ["", false],
    ["id: 1\ndata: a\n\n", false],
    ["id: 1\ndata: a\n\n\n", false],
    ["id: 1\r\ndata: a\r\n\r\n", false],
    ["id: 1\ndata: a\n", true],
    ["id: 1\ndata: a\n\nid: 2\nda", true],
    ["id: 1\r\ndata: a\r\n", true],
  ];
  for (const [text, expected] of cases) {
    const splitter = new EventSplitter(LIMITS);
    splitter.push(Buffer.from(text));
    assert.is(splitter.isInEvent, expected, JSON.stringify(text));
  }
});

test("an id is not lost where a later event only mentions one", () => {
  const splitter = new EventSplitter(LIMITS);
  splitter.push(Buffer.from("id: 3\ndata: a\n\n"));
  splitter.push(Buffer.from("data: an id: in the text\n\n"));
  assert.is(splitter.lastEventId, "3");
});

const FUZZ_SEED = 20261205;
const LINE_ENDS = ["\n", "\r\n", "\r"];
const BYTE_ORDER_MARK = "\ufeff";

/** Returns the events of a stream, each with its blank line. */
function buildEvents(lineEnd: string, hasByteOrderMark: boolean): Buffer[] {
  const events = [
    ["id: 1", "data: a"],
    [": comment"],
    ["id:2", "event: x", "data: first line", "data: second line"],
    ["x-weight-versions: 3", "id: 3", "data:", "data: \u00e9"],
    ["retry: 10"],
    ["id: 4", "data: end"],
  ].map((lines) => [...lines, ""].map((line) => `${line}${lineEnd}`).join(""));
  if (hasByteOrderMark) events[0] = `${BYTE_ORDER_MARK}${events[0]}`;
  return events.map((event) => Buffer.from(event));
}

for (const lineEnd of LINE_ENDS) {
  for (const hasByteOrderMark of [false, true]) {
    const events = buildEvents(lineEnd, hasByteOrderMark);
    const stream = Buffer.concat(events);
    const boundaries = events.reduce<number[]>(
      (ends, event) => [...ends, (ends.at(-1) ?? 0) + event.length],
      [0],
    );
    const name = `line end ${JSON.stringify(lineEnd)}${
      hasByteOrderMark ? " with a byte order mark" : ""
    }`;

    test(`a stream read byte by byte forwards each event when it is complete, and is complete only there: ${name}`, () => {
      const splitter = new EventSplitter(LIMITS);
      let forwarded = 0;
      for (let offset = 1; offset <= stream.length; offset += 1) {
        const bytes = stream.subarray(offset - 1, offset);
        forwarded += splitter.push(bytes).length;
        const boundary = boundaries.findLast((each) => each <= offset);
        assert.is(forwarded, boundary, `forwarded after ${offset} bytes`);
        const isAfterMark = !hasByteOrderMark || offset > 3;
        if (!isAfterMark) continue;
        assert.is(splitter.isInEvent, boundary !== offset, `at ${offset}`);
      }
      assert.is(splitter.lastEventId, "4");
      assert.is(splitter.eventCount, events.length);
    });

    test(`any division into chunks gives the same events: ${name}`, () => {
      const cuts = fc.array(fc.integer({ min: 0, max: stream.length }));
      fc.assert(
        fc.property(cuts, (positions) => {
          const splitter = new EventSplitter(LIMITS);
          const sorted = [0, ...positions, stream.length].sort((a, b) => a - b);
          const parts = sorted.slice(1).map((end, index) =>
            splitter.push(stream.subarray(sorted[index], end))
          );
          assert.ok(Buffer.concat(parts).equals(stream));
          assert.not.ok(splitter.isInEvent);
          assert.is(splitter.lastEventId, "4");
        }),
        { seed: FUZZ_SEED },
      );
    });
  }
}

test("white space and a byte order mark are no event", () => {
  for (const text of ["", "\n\n", "\r\n\r\n", BYTE_ORDER_MARK]) {
    const splitter = new EventSplitter(LIMITS);
    assert.is(splitter.push(Buffer.from(text)).length, 0, JSON.stringify(text));
    assert.is(splitter.eventCount, 0);
  }
});

test.run();
