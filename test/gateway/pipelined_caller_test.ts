/**
 * A caller that sends several requests on one connection and leaves: the runs
 * behind the first one went on, and idempotent ones were sent once more (GONE).
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Time within which runs for a caller that left are ended. */
const CANCEL_MS = 300;
/** Longer than the time after which a silent upstream is given up. */
const RETRY_MS = 2_000;

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

test.run();
