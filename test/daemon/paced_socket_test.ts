/**
 * Guards against input of an upstream that is lost, reordered or processed
 * beyond its share while it waits for later turns of the event loop.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryBudget } from "../../src/core/limits/memory_budget.ts";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import {
  openPacedSocket,
  type PacedSocket,
} from "../../src/daemon/paced_socket.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const EVENT_COUNT = 20_000;
const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/**
 * A turn may have a read and a rest, with the last piece beyond the limit. A
 * reader that begins, or goes on after a pause, gets what connection and response
 * have read ahead, 4 KB each of events of 8 bytes, in addition.
 */
const MAX_TURN_EVENTS = 4 * DEFAULT_TURN_LIMITS.maxEvents + 2 * 4 * 1024 / 8;
/** Time in which loopback traffic settles. */
const SETTLE_MS = 100;

let server: Server;
let answer: string;
test.before(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.end(answer));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
});
test.after(() => void server.close());

interface Scene {
  response: IncomingMessage;
  socket: PacedSocket;
  throttled: () => number;
  closed: Promise<void>;
}

/** Requests the answer, and reads it from its head on. */
function requestAnswer(
  read: (chunk: Buffer, scene: Scene) => void,
  memory = UNLIMITED_MEMORY,
): Promise<Scene> {
  let throttled = 0;
  const { port } = server.address() as AddressInfo;
  const socket = openPacedSocket({
    limits: DEFAULT_TURN_LIMITS,
    memory,
    onThrottle: () => throttled += 1,
  }, { host: "127.0.0.1", port });
  const call = request({ createConnection: () => socket });
  // What follows a response is an error of its request.
  call.on("error", () => {});
  call.end();
  return new Promise((resolve) => {
    call.once("response", (response) => {
      const closed = new Promise<void>((resolve) =>
        response.once("close", resolve)
      );
      const scene = { response, socket, throttled: () => throttled, closed };
      response.on("error", () => {});
      response.on("data", (chunk: Buffer) => {
        socket.recordEvent();
        read(chunk, scene);
      });
      resolve(scene);
    });
  });
}

function formatEvents(): string {
  let text = HEAD;
  for (let index = 0; index < EVENT_COUNT; index += 1) {
    const event = formatEvent(index);
    text += `${event.length.toString(16)}\r\n${event}\r\n`;
  }
  return `${text}0\r\n\r\n`;
}

function formatEvent(index: number): string {
  return `id: ${index}\n\n`;
}

for (const pauseMs of [0, 20]) {
  test(`events that come at once are passed on in order, over many turns, with pauses of ${pauseMs} ms of the reader`, async () => {
    answer = formatEvents();
    let received = "";
    let turnEvents = 0;
    let maxTurnEvents = 0;
    let events = 0;
    const { response, throttled, closed } = await requestAnswer(
      (chunk, { response }) => {
        received += chunk.toString();
        events += 1;
        if (turnEvents === 0) {
          setImmediate(() => {
            maxTurnEvents = Math.max(maxTurnEvents, turnEvents);
            turnEvents = 0;
          });
        }
        turnEvents += 1;
        if (pauseMs > 0 && events % 3_000 === 0) {
          response.pause();
          setTimeout(() => response.resume(), pauseMs);
        }
      },
    );
    await closed;
    assert.ok(response.complete);
    const expected = Array.from(
      { length: EVENT_COUNT },
      (_, index) => formatEvent(index),
    ).join("");
    assert.is(received, expected);
    assert.is(throttled(), 1);
    assert.ok(maxTurnEvents <= MAX_TURN_EVENTS, `${maxTurnEvents} events`);
  });
}

test("a stream that breaks off while its input waits is not complete", async () => {
  answer = formatEvents().slice(0, -5);
  let received = "";
  const { response, closed } = await requestAnswer((chunk) =>
    received += chunk.toString()
  );
  await closed;
  assert.not(response.complete);
  assert.ok(received.endsWith(formatEvent(EVENT_COUNT - 1)));
});

test("what follows a response is not passed on, and its connection is closed", async () => {
  answer = `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole${
    "x".repeat(300_000)
  }`;
  let received = "";
  const { response, socket, closed } = await requestAnswer((chunk) =>
    received += chunk.toString()
  );
  await closed;
  assert.ok(response.complete);
  assert.is(received, "whole");
  await waitMs(SETTLE_MS);
  assert.ok(socket.destroyed);
});

test("the input that waits counts against the memory budget, and is returned to it", async () => {
  answer = formatEvents();
  const memory = new MemoryBudget({ exemptBytes: 0, sharedBytes: 1_000_000 });
  let maxUsed = 0;
  const { closed } = await requestAnswer(() => {
    // Input waits between the turns in which events are read.
    setImmediate(() => maxUsed = Math.max(maxUsed, memory.usedBytes));
  }, memory);
  await closed;
  assert.ok(maxUsed > 0, `${maxUsed} bytes`);
  assert.is(memory.usedBytes, 0);
});

test("a stream for whose input there is no memory breaks off, and never looks complete", async () => {
  answer = formatEvents();
  const memory = new MemoryBudget({ exemptBytes: 0, sharedBytes: 0 });
  const { response, closed } = await requestAnswer(() => {}, memory);
  await closed;
  assert.not(response.complete);
  assert.is(memory.usedBytes, 0);
});

test.run();
