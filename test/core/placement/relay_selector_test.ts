/** Which peer a request is relayed to, and how many relayed requests one accepts. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { canAdmitRelay } from "../../../src/core/admission/relay_admission.ts";
import type { Heartbeat } from "../../../src/core/fleet/heartbeat.ts";
import { buildHeartbeat } from "../fleet/heartbeat_builder.ts";
import { selectRelay } from "../../../src/core/placement/relay_selector.ts";

function createHeartbeat(id: string, part: Partial<Heartbeat> = {}): Heartbeat {
  const sender = { id, ip: "127.0.0.1", failureDomain: id[0] ?? "" };
  return buildHeartbeat(sender, { acceptsRelays: true, ...part });
}

function select(
  heartbeats: Heartbeat[],
  excluded: string[] = [],
  requestId = "r",
): string | undefined {
  return selectRelay({
    requestId,
    service: "desk",
    failureDomain: "a",
    excludedPeerIds: new Set(excluded),
  }, heartbeats)?.id;
}

test("peers of the same failure domain come first, others when these are excluded", () => {
  const peers = ["a1", "b1", "a2"].map((id) => createHeartbeat(id));
  const first = select(peers) ?? "";
  assert.match(first, /^a/);
  const second = select(peers, [first]) ?? "";
  assert.match(second, /^a/);
  assert.is(select(peers, [first, second]), "b1");
  assert.is(select(peers, ["a1", "a2", "b1"]), undefined);
});

test("peers that leave, are cut off themselves or are of an older release are not chosen", () => {
  assert.is(
    select([
      createHeartbeat("a1", { isLeaving: true }),
      createHeartbeat("a2", { cutOffServices: ["other", "desk"] }),
      createHeartbeat("a3", { acceptsRelays: false }),
      createHeartbeat("b1", { cutOffServices: ["other"] }),
    ]),
    "b1",
  );
});

test("requests spread over the peers", () => {
  const peers = ["a1", "a2", "a3"].map((id) => createHeartbeat(id));
  const chosen = Array.from(
    { length: 60 },
    (_, index) => select(peers, [], `request ${index}`),
  );
  for (const { sender } of peers) {
    assert.ok(chosen.filter((id) => id === sender.id).length > 8);
  }
});

test("a host accepts as many relayed requests as its own callers have, and some in any case", () => {
  assert.ok(canAdmitRelay({ relayed: 31, own: 0 }));
  assert.not(canAdmitRelay({ relayed: 32, own: 10 }));
  assert.ok(canAdmitRelay({ relayed: 99, own: 100 }));
  assert.not(canAdmitRelay({ relayed: 100, own: 100 }));
});

test.run();
