/**
 * A caller that sends several requests on one connection and leaves: the runs
 * behind the first one went on, and idempotent ones were sent once more (GONE).
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Time within which runs for a caller that left are ended. */
const CANCEL_MS = 300;
/** Longer than the time after which a silent upstream is given up. */
const RETRY_MS = 2_000;

/** More than Node.js buffers for a connection before it stops reading it. */
const LONG_ANSWER: ScriptedAnswer = {
  framing: "length",
  body: "x".repeat(200_000),
  delayMs: 0,
  end: "keep",
};

const harness = new GatewayHarness();

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 1, engines: 2, services: 2 });
});
test.after(() => harness.stop());

for (const path of ["/safe/1", "/unsafe/1", "/resume/1", "/brief/1"]) {
  for (const end of ["close", "reset"] as const) {
    test(`all runs of a caller of pipelined requests end when it leaves, none is sent again: ${path}, ${end}`, async () => {
      const ids = [0, 1, 2].map((index) => `pipelined-${path}-${end}-${index}`);
      for (const replica of [...harness.services, ...harness.engines]) {
        replica.behaviours = ["hang", "hang", "hang"];
      }
      const socket = connect(harness.getCallerPort(), "127.0.0.1");
      socket.on("error", () => {});
      await once(socket, "connect");
      socket.write(
        ids.map((id) => harness.formatRequest(path, { id })).join(""),
      );
      await harness.waitFor(() =>
        ids.every((id) => harness.countRuns(id) === 1)
      );
      if (end === "close") socket.end();
      else socket.resetAndDestroy();
      await waitMs(CANCEL_MS);
      const isEnded = ids.map((id) => harness.listRuns(id)[0]?.wasAborted);
      assert.equal(isEnded, [true, true, true]);
      await waitMs(RETRY_MS);
      assert.equal(ids.map((id) => harness.countRuns(id)), [1, 1, 1]);
    });
  }
}

test("the run of a caller that leaves goes on if long answers wait behind its response", async () => {
  const id = "paused-0";
  harness.scriptAnswers(id, [{ ...LONG_ANSWER, delayMs: RETRY_MS }]);
  harness.scriptAnswers("paused-1", [LONG_ANSWER]);
  const socket = connect(harness.getCallerPort(), "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.write(
    [id, "paused-1"].map((each) =>
      harness.formatRequest("/unsafe/1", { id: each })
    ).join(""),
  );
  await harness.waitFor(() => harness.countRuns("paused-1") === 1);
  await waitMs(CANCEL_MS);
  // Node.js stops reading a connection of which so much waits to be sent.
  socket.write(harness.formatRequest("/safe/1", { id: "paused-2" }));
  await harness.waitFor(() => harness.countRuns("paused-2") === 1);
  socket.end();
  await waitMs(CANCEL_MS);
  assert.is(harness.listRuns(id)[0]?.wasAborted, true);
});

test.run();
