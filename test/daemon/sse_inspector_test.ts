/** The inspector returns complete events, counts them and detects `[DONE]`, however the stream is split into chunks. */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SseInspector } from "../../src/daemon/sse_inspector.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const STREAM = Buffer.from(
  'data: {"model":"a@v1","n":0}\n\ndata: {"n":1}\n\ndata: [DONE]\n\n',
);

test("every split into two chunks gives the same events", () => {
  for (let splitAt = 0; splitAt <= STREAM.length; splitAt += 1) {
    const inspector = new SseInspector(UNLIMITED_MEMORY);
    const output: Buffer[] = [];
    for (
      const chunk of [STREAM.subarray(0, splitAt), STREAM.subarray(splitAt)]
    ) {
      const events = chunk.length > 0 ? inspector.push(chunk) : undefined;
      if (events) {
        assert.is(events.subarray(-2).toString(), "\n\n");
        output.push(Buffer.from(events));
      }
    }
    assert.is(Buffer.concat(output).toString(), STREAM.toString());
    assert.is(inspector.eventCount, 3);
    assert.is(inspector.model, "a@v1");
    assert.ok(inspector.isComplete());
  }
});

test("a stream read byte by byte gives the same events", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  let text = "";
  for (const byte of STREAM) {
    text += inspector.push(Buffer.from([byte]))?.toString() ?? "";
  }
  assert.is(text, STREAM.toString());
  assert.is(inspector.eventCount, 3);
});

test("a partial event is buffered, and discarded when the connection is lost", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: {"n"'));
  assert.is(inspector.eventCount, 1);
  inspector.dropIncompleteEvent();
  const rest = inspector.push(Buffer.from("data: [DONE]\n\n"));
  assert.is(rest?.toString(), "data: [DONE]\n\n");
  assert.ok(inspector.isComplete());
});

test("a stream without [DONE] is not complete", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: [DONE'));
  assert.is(inspector.finish(), undefined);
  assert.not.ok(inspector.isComplete());
});

test("a [DONE] without its blank line is accepted at the end of the stream", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: [DONE]\n'));
  assert.not.ok(inspector.isComplete());
  assert.is(inspector.finish()?.toString(), "data: [DONE]\n\n");
  assert.ok(inspector.isComplete());
});

for (const lineEnd of ["\n", "\r\n", "\r"]) {
  test(`a stream with the line end ${JSON.stringify(lineEnd)} is complete only with its [DONE], wherever it is cut`, () => {
    const stream = Buffer.from(
      STREAM.toString().replaceAll("\n", lineEnd),
    );
    const doneEnds = stream.indexOf("[DONE]") + "[DONE]".length;
    for (let length = 0; length <= stream.length; length += 1) {
      const inspector = new SseInspector(UNLIMITED_MEMORY);
      for (const byte of stream.subarray(0, length)) {
        inspector.push(Buffer.from([byte]));
      }
      inspector.finish();
      assert.is(inspector.isComplete(), length >= doneEnds, `${length} bytes`);
      if (length === stream.length) assert.is(inspector.model, "a@v1");
    }
  });
}

test("an event that ends with the text of [DONE] is not the last one", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  inspector.push(Buffer.from("data: the mark is data: [DONE]\n\n"));
  assert.not.ok(inspector.isComplete());
});

test("an event over the size limit is rejected", () => {
  const inspector = new SseInspector(UNLIMITED_MEMORY);
  assert.throws(() => inspector.push(Buffer.alloc(1_100_000, "x")), /at most/);
});

test.run();
