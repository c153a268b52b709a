/** Streams are cut only between events, and go on after the last whole one. */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "../../../src/core/execution/event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

test("whole events pass on however the bytes are cut", () => {
  for (let size = 1; size <= STREAM.length; size += 1) {
    const splitter = new EventSplitter();
    let passed = "";
    for (let from = 0; from < STREAM.length; from += size) {
      const piece = Buffer.from(STREAM.slice(from, from + size));
      const whole = splitter.push(piece).toString();
      assert.ok(whole === "" || whole.endsWith("\n\n"));
      passed += whole;
    }
    assert.is(passed, STREAM);
    assert.is(splitter.lastEventId, "3");
  }
});

test("a stream that breaks within an event goes on without its first bytes", () => {
  const splitter = new EventSplitter();
  const first = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  assert.is(splitter.lastEventId, "1");
  splitter.takeRest();
  const second = splitter.push(Buffer.from("id: 2\ndata: b\n\n"));
  assert.is(`${first}${second}`, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
});

test.run();
