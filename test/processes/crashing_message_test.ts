/**
 * Guards against chats that share a message that crashes each engine: no two are
 * alike, so that the strikes of one say nothing about the next, and the daemons
 * would lose one engine after the other.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RefusalReason } from "../../src/core/outcomes.ts";
import { SHORT_CORE_SETTINGS, Site } from "../../scripts/site.ts";

const CRASHING_MESSAGE = "CRASH-ENGINE whoever asks";
const FIRST_MESSAGE = "You are a helpful dispatcher.";
/** The users' bound: five crashes, and three more requests. */
const MAX_CRASHES = 8;
const REQUESTS = 10;
const test = suite("crashing message");
let site: Site;

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 2, engines: 4 }],
    tokens: 10,
    core: {
      ...SHORT_CORE_SETTINGS,
      // No process is paused here; long timeouts keep a busy machine from
      // looking like a pause.
      peerTimeoutMs: 5_000,
      pauseThresholdMs: 5_000,
      ownershipValidityMs: 5_000,
    },
  });
  await site.start();
});

test.after(async () => await site.stop());

function callWithMessages(index: number, shared: string[], content: string) {
  const daemonId = site.daemonIds[index % site.daemonIds.length] ?? "";
  return site.callWithSharedMessages(daemonId, `adapter-${index % 2}`, {
    shared,
    content,
  });
}

test("chats that share a message that crashes engines are refused at all daemons, those with the same first message are answered", async () => {
  const reasons = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    const answer = await callWithMessages(index, [
      FIRST_MESSAGE,
      CRASHING_MESSAGE,
    ], `question ${index}`);
    reasons.push(answer.refusal?.reason);
    const sound = await callWithMessages(index, [FIRST_MESSAGE], `s ${index}`);
    assert.is(sound.status, 200);
  }
  const crashes = [...site.engines.values()].flatMap(({ history }) => history)
    .filter(({ body }) => body.includes(CRASHING_MESSAGE)).length;
  assert.is.not(crashes, 0);
  assert.ok(crashes <= MAX_CRASHES, `ran on ${crashes} engines`);
  assert.equal(reasons.slice(-2), [
    RefusalReason.Quarantined,
    RefusalReason.Quarantined,
  ]);
});

test.run();
