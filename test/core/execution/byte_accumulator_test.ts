/**
 * The bytes collected are those that were added, within the maximum and the
 * budget, and their memory does not depend on the size of the chunks.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ByteAccumulator } from "../../../src/core/execution/byte_accumulator.ts";
import { EventSplitter } from "../../../src/core/execution/event_splitter.ts";
import { MemoryBudget } from "../../../src/core/limits/memory_budget.ts";
import { UNLIMITED_MEMORY } from "../../unlimited_memory.ts";

const MAX_BYTES = 1024 * 1024;

test("chunks of any size are joined in their order", () => {
  const body = new ByteAccumulator({
    maxBytes: MAX_BYTES,
    memory: UNLIMITED_MEMORY,
  });
  const expected: Buffer[] = [];
  for (let size = 0; size < 200; size += 1) {
    const chunk = Buffer.alloc(size, size);
    expected.push(chunk);
    assert.ok(body.tryAppend(chunk));
    chunk.fill(0xff);
    expected.splice(-1, 1, Buffer.alloc(size, size));
  }
  assert.equal(body.take(), Buffer.concat(expected));
  assert.is(body.length, 0);
  assert.ok(body.tryAppend(Buffer.from("next")));
  assert.is(body.bytes.toString(), "next");
});

test("a chunk beyond the maximum is not added", () => {
  const body = new ByteAccumulator({ maxBytes: 5, memory: UNLIMITED_MEMORY });
  assert.ok(body.tryAppend(Buffer.from("four")));
  assert.not(body.tryAppend(Buffer.from("xx")));
  assert.ok(body.tryAppend(Buffer.from("y")));
  assert.is(body.bytes.toString(), "foury");
});

test("blocks are reserved from the budget, and returned to it", () => {
  const memory = new MemoryBudget({ exemptBytes: 0, sharedBytes: 4_096 });
  const options = { maxBytes: MAX_BYTES, memory };
  const [first, second] = [
    new ByteAccumulator(options),
    new ByteAccumulator(options),
  ];
  assert.ok(first.tryAppend(Buffer.alloc(4_000)));
  assert.ok(memory.usedBytes >= 4_000);
  assert.not(second.tryAppend(Buffer.alloc(1_000)));
  first.take();
  assert.is(memory.usedBytes, 0);
  assert.ok(second.tryAppend(Buffer.alloc(1_000)));
  second.release();
  assert.is(memory.usedBytes, 0);
});

test("many small chunks are refused, and as many bytes in larger ones are not", () => {
  const options = {
    maxBytes: MAX_BYTES,
    memory: UNLIMITED_MEMORY,
    maxSmallChunks: 100,
  };
  const inBytes = new ByteAccumulator(options);
  for (let count = 0; count < 100; count += 1) {
    assert.ok(inBytes.tryAppend(Buffer.from("x")));
  }
  assert.not(inBytes.tryAppend(Buffer.from("x")));
  const inWords = new ByteAccumulator(options);
  for (let count = 0; count < 100; count += 1) {
    assert.ok(inWords.tryAppend(Buffer.alloc(16)));
  }
  assert.not(inWords.tryAppend(Buffer.alloc(16)));
  const inLines = new ByteAccumulator(options);
  while (inLines.length + 64 <= MAX_BYTES) {
    assert.ok(inLines.tryAppend(Buffer.alloc(64)));
  }
  while (inLines.length < MAX_BYTES) {
    assert.ok(inLines.tryAppend(Buffer.from("x")));
  }
  assert.ok(inLines.tryAppend(Buffer.from("x")) === false);
  inLines.take();
  assert.ok(inLines.tryAppend(Buffer.from("x")));
});

test("an event without end in chunks of one byte takes no memory beyond its bytes", () => {
  const memory = new MemoryBudget({ exemptBytes: 0, sharedBytes: MAX_BYTES });
  const splitter = new EventSplitter({ maxBytes: MAX_BYTES, memory });
  const before = process.memoryUsage().heapUsed;
  for (let count = 0; count < MAX_BYTES; count += 1) {
    splitter.push(Buffer.allocUnsafeSlow(1).fill("x"));
  }
  // A list of the chunks takes some 100 MB.
  const grownBytes = process.memoryUsage().heapUsed - before;
  assert.ok(grownBytes < 32 * 1024 * 1024, `${grownBytes} bytes`);
  assert.not(splitter.hasOverflowed);
  splitter.push(Buffer.from("x"));
  assert.ok(splitter.hasOverflowed);
  assert.is(splitter.restBytes, MAX_BYTES);
});

test.run();
