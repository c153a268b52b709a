/** The inspector lets whole events through, counts them, and knows the end mark however it is cut. */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SseInspector } from "../../src/daemon/sse_inspector.ts";

const STREAM = Buffer.from(
  'data: {"model":"a@v1","n":0}\n\ndata: {"n":1}\n\ndata: [DONE]\n\n',
);

test("every cut into two chunks gives the same events", () => {
  for (let cut = 0; cut <= STREAM.length; cut += 1) {
    const inspector = new SseInspector();
    const out: Buffer[] = [];
    for (const chunk of [STREAM.subarray(0, cut), STREAM.subarray(cut)]) {
      const whole = chunk.length > 0 ? inspector.push(chunk) : undefined;
      if (whole) {
        assert.is(whole.subarray(-2).toString(), "\n\n");
        out.push(Buffer.from(whole));
      }
    }
    assert.is(Buffer.concat(out).toString(), STREAM.toString());
    assert.is(inspector.eventCount, 3);
    assert.is(inspector.model, "a@v1");
    assert.ok(inspector.isComplete());
  }
});

test("byte by byte gives the same events", () => {
  const inspector = new SseInspector();
  let text = "";
  for (const byte of STREAM) {
    text += inspector.push(Buffer.from([byte]))?.toString() ?? "";
  }
  assert.is(text, STREAM.toString());
  assert.is(inspector.eventCount, 3);
});

test("a part of an event is held back, and dropped where a connection was cut", () => {
  const inspector = new SseInspector();
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: {"n"'));
  assert.is(inspector.eventCount, 1);
  inspector.dropIncompleteEvent();
  const rest = inspector.push(Buffer.from("data: [DONE]\n\n"));
  assert.is(rest?.toString(), "data: [DONE]\n\n");
  assert.ok(inspector.isComplete());
});

test("a stream without its end mark is not complete", () => {
  const inspector = new SseInspector();
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: [DONE'));
  assert.is(inspector.finish(), undefined);
  assert.not.ok(inspector.isComplete());
});

test("an end mark without its blank line is taken at the end", () => {
  const inspector = new SseInspector();
  inspector.push(Buffer.from('data: {"model":"a@v1"}\n\ndata: [DONE]\n'));
  assert.not.ok(inspector.isComplete());
  assert.is(inspector.finish()?.toString(), "data: [DONE]\n\n");
  assert.ok(inspector.isComplete());
});

test("an endless event is refused", () => {
  const inspector = new SseInspector();
  assert.throws(() => inspector.push(Buffer.alloc(1_100_000, "x")), /at most/);
});

test.run();
