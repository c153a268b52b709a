import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleDaemon } from "../single_daemon.ts";

/**
 * Time after which an owner that has seen no sign of another owner may evict.
 */
const LONG_AGO_MS = 120_000;

test("runs without a lease of the owner delay evictions where fencing is ignored", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  const state = daemon.states.get("engine-1");
  state?.residents.push({ adapterKey: "other@v1", inFlight: 0 });
  daemon.advance(LONG_AGO_MS);
  assert.is(getWaitMs(daemon), 0);
  const other = state?.residents[0];
  if (other) other.inFlight = 1;
  daemon.advance(500);
  assert.ok(getWaitMs(daemon) > 0);
});

function getWaitMs(daemon: SingleDaemon): number {
  const [upstream] = daemon.core.describe(daemon.now).upstreams;
  return upstream?.evictionAllowedInMs ?? -1;
}

test.run();
