/**
 * Selection of the peer from which a daemon fetches changes of the published
 * view.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type NewerPeer,
  SyncPeerSelector,
} from "../../../src/core/view/sync_peer_selector.ts";

function createPeer(id: string, isSameDomain = true): NewerPeer {
  return { id, ip: id, position: { era: 0, revision: 9 }, isSameDomain };
}

test("daemons spread over the peers that have the change", () => {
  const peers = ["1", "2", "3", "4"].map((id) => createPeer(id));
  const chosen = Array.from(
    { length: 20 },
    (_, self) => new SyncPeerSelector(`host ${self}`).choosePeer(peers, 0)?.id,
  );
  assert.is(new Set(chosen).size, 4);
});

test("peers of the same failure domain are preferred", () => {
  const peers = [
    createPeer("1", false),
    createPeer("2"),
    createPeer("3", false),
  ];
  assert.is(new SyncPeerSelector("host").choosePeer(peers, 0)?.id, "2");
  assert.ok(new SyncPeerSelector("host").choosePeer(peers.slice(0, 1), 0));
});

test("a peer that did not answer is skipped for a while, and the store is needed", () => {
  const selector = new SyncPeerSelector("host");
  const reader = createPeer("reader");
  assert.is(selector.choosePeer([reader], 0)?.id, "reader");
  assert.not(selector.needsStore);
  selector.recordFailure("reader", 600);
  assert.ok(selector.needsStore);
  assert.is(selector.choosePeer([reader], 800), undefined);
  assert.is(
    selector.choosePeer([reader, createPeer("far", false)], 800)?.id,
    "far",
  );
  assert.is(selector.choosePeer([reader], 2_600)?.id, "reader");
  selector.recordCaughtUp();
  assert.not(selector.needsStore);
});

test.run();
