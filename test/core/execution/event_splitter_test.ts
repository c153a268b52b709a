/**
 * Streams are split only at event boundaries, and resume after the last
 * complete event.
 */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "../../../src/core/execution/event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

test("only complete events are forwarded, whatever the chunk size", () => {
  for (let size = 1; size <= STREAM.length; size += 1) {
    const splitter = new EventSplitter();
    let forwarded = "";
    for (let from = 0; from < STREAM.length; from += size) {
      const chunk = Buffer.from(STREAM.slice(from, from + size));
      const events = splitter.push(chunk).toString();
      assert.ok(events === "" || events.endsWith("\n\n"));
      forwarded += events;
    }
    assert.is(forwarded, STREAM);
    assert.is(splitter.lastEventId, "3");
  }
});

test("a stream that breaks within an event resumes without the incomplete event", () => {
  const splitter = new EventSplitter();
  const first = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  assert.is(splitter.lastEventId, "1");
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
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(text));
    assert.is(splitter.isInEvent, expected, JSON.stringify(text));
  }
});

test.run();
