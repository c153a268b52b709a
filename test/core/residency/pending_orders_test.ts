import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_CORE_SETTINGS } from "../../../src/core/core_settings.ts";
import { SingleDaemon } from "../single_daemon.ts";

test("an order expires before another daemon could own the upstream", () => {
  const daemon = new SingleDaemon(["engine-1"]);
  const before = daemon.effects.length;
  daemon.request("briefing");
  const orders = daemon.effects.slice(before)
    .filter((effect) => effect.kind === "order");
  assert.is(orders.length, 1);
  const validityMs = (orders[0]?.sendUntil ?? 0) - daemon.now;
  assert.ok(validityMs > 0);
  assert.ok(validityMs < DEFAULT_CORE_SETTINGS.peerTimeoutMs / 2);
});

test.run();
