/**
 * Callers that send a booking, and behind it something that is no request, or
 * not a whole one in time: the gateway's error status was taken for the answer
 * to the booking, which runs (REFUSED).
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { listStatuses } from "../raw_caller.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** Time that a booking runs: longer than the head of the next one may take. */
const RUN_MS = 5_000;
const TIMEOUT_MS = 9_000;
/** Node.js looks for late heads every 30 s. */
const CONNECT_FOR_MS = 31_000;
const INTERVAL_MS = 500;
const ANSWER = "booked";

test.before(async () => {
  harness.routeOverrides = { unsafe: { timeout_ms: TIMEOUT_MS } };
  await harness.start({ gateways: 1, engines: 0, services: 2 });
});
test.after(() => harness.stop());

/** Sends a booking and what follows it; resolves to all that is received. */
async function book(
  id: string,
  delayMs: number,
  following: string,
): Promise<string> {
  harness.scriptAnswers(id, [{
    framing: "length",
    body: ANSWER,
    delayMs,
    end: "close",
  }]);
  const socket = connect(harness.getCallerPort(), "127.0.0.1");
  let text = "";
  socket.on("error", () => {});
  socket.on("data", (chunk) => {
    text += String(chunk);
    if (text.endsWith(ANSWER)) socket.end();
  });
  await once(socket, "connect");
  const headers = { "X-Deadline-Ms": String(TIMEOUT_MS) };
  socket.write(harness.formatRequest("/unsafe/1", { id, headers }));
  await harness.waitFor(() => harness.countRuns(id) === 1);
  socket.write(following);
  await once(socket, "close");
  return text;
}

test("bytes that are no request behind a booking that runs are not answered in its place", async () => {
  const text = await book("malformed", 400, "\u0000\u0001\r\n\r\n");
  assert.equal(listStatuses(text), [200]);
  assert.ok(text.endsWith(ANSWER));
});

test("REFUSED: no booking that runs gets the 408 of a late head behind it", async () => {
  const half = harness.formatRequest("/unsafe/1", { id: "next" }).slice(0, 40);
  const endsAt = performance.now() + CONNECT_FOR_MS;
  const bookings: Promise<string>[] = [];
  while (performance.now() < endsAt) {
    bookings.push(book(`late-${bookings.length}`, RUN_MS, half));
    await waitMs(INTERVAL_MS);
  }
  const texts = await Promise.all(bookings);
  const statuses = texts.map((text) => listStatuses(text)[0] ?? "none");
  assert.equal([...new Set(statuses)], [200]);
});

test.run();
