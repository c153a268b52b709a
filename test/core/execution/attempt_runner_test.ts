/**
 * Strikes that a peer reports while a request waits for its lease apply when it
 * is dispatched. Without that check, a request that already crashed an upstream
 * elsewhere would crash another one.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { StrikeDigest } from "../../../src/core/messages.ts";
import { PEER_DOMAIN, SingleDaemon } from "../single_daemon.ts";

const PEER = "entry-2";
/** Far more requests than an engine's owner lets run concurrently. */
const MANY = 100;

/**
 * Starts requests until the engine is full; returns them, and one more that
 * waits for a lease.
 */
function startFullEngine(): {
  daemon: SingleDaemon;
  running: string[];
  waiting: string;
} {
  const daemon = new SingleDaemon(["engine-1"], [PEER]);
  const running: string[] = [];
  for (let index = 0; index < MANY; index += 1) {
    const id = daemon.request("briefing");
    daemon.advance(100);
    if (daemon.getDispatches(id).length === 0) {
      return { daemon, running, waiting: id };
    }
    running.push(id);
  }
  throw new Error(`expected a full engine, actual ${MANY} concurrent runs`);
}

function sendStrikes(daemon: SingleDaemon, strikes: number): void {
  const digest: StrikeDigest = {
    fingerprint: "f1",
    strikes,
    expiresInMs: 60_000,
  };
  daemon.handle({
    kind: "peerMessage",
    from: PEER,
    message: {
      kind: "linkUpdate",
      failureDomain: PEER_DOMAIN,
      incarnation: "p1",
      sequence: 1,
      full: true,
      digests: [],
      removedUpstreamIds: [],
      storeKeeperId: "",
      evictions: [],
      tablesRevision: 1,
      hostListRevision: 1,
      strikes: [digest],
    },
  });
}

function endRun(daemon: SingleDaemon, requestId: string): void {
  const [dispatch] = daemon.getDispatches(requestId);
  assert.ok(dispatch);
  daemon.endAttempt(dispatch.attemptId, {
    kind: "completed",
    servedModel: dispatch.model,
  });
}

test("a request is not dispatched if a peer reports it as quarantined while it waits for a lease", () => {
  const { daemon, running, waiting } = startFullEngine();
  sendStrikes(daemon, 1);
  endRun(daemon, running[0] ?? "");
  daemon.advance(500);
  assert.is(daemon.getDispatches(waiting).length, 0);
  assert.is(daemon.getRefusal(waiting)?.reason, "quarantined");
  assert.is(daemon.getRefusal(waiting)?.outcome, "notRun");
});

test("a request waits for an exclusive run if a peer reports it as a suspect while it waits for a lease", () => {
  const { daemon, running, waiting } = startFullEngine();
  sendStrikes(daemon, 0);
  endRun(daemon, running[0] ?? "");
  daemon.advance(200);
  assert.is(daemon.getDispatches(waiting).length, 0);
  for (const id of running.slice(1)) endRun(daemon, id);
  daemon.advance(2_000);
  assert.is(daemon.getDispatches(waiting).length, 1);
});

test.run();
