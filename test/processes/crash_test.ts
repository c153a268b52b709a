/**
 * Guards against a request that crashes each upstream running it and takes down
 * all engines because the daemons and its caller keep retrying it, and against
 * quarantining requests that merely shared a batch with it.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RefusalReason } from "../../src/core/outcomes.ts";
import type { RunningCall } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import {
  describeAnswer,
  isExactAnswer,
  SHORT_CORE_SETTINGS,
  Site,
} from "../../scripts/site.ts";

const TOKENS = 60;
const MAX_CRASHES = 2;
/**
 * No process is paused here; long timeouts keep a busy machine from looking
 * like a pause.
 */
const CORE_SETTINGS = {
  ...SHORT_CORE_SETTINGS,
  peerTimeoutMs: 5_000,
  pauseThresholdMs: 5_000,
  ownershipValidityMs: 5_000,
};
const CRASHING_CONTENT = "CRASH-ENGINE please";
const test = suite("crash");
let site: Site;
let sharedBatchCalls: RunningCall[] = [];

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 2, engines: 4 }],
    tokens: TOKENS,
    core: CORE_SETTINGS,
  });
  await site.start();
});

test.after(async () => await site.stop());

test("a crashing request is quarantined after the maximum number of crashes, whichever daemon gets it", async () => {
  // Calls whose answer has not begun are retried; an answer that is not
  // streamed begins when its run ends.
  const [first = "", second = ""] = site.daemonIds;
  sharedBatchCalls = Array.from(
    { length: 8 },
    (_, index) =>
      site.startUnstreamedCall(
        index % 2 === 0 ? first : second,
        `adapter-${index % 2}`,
        `neighbour ${index}`,
      ),
  );
  await waitUntil("the calls that share batches run", () =>
    Promise.resolve(
      [...site.engines.values()].flatMap(({ history }) => history).length >= 8,
    ));
  const reasons = [];
  for (let round = 0; round < 4; round += 1) {
    const daemon = round % 2 === 0 ? first : second;
    const answer = await site.call(daemon, "adapter-0", CRASHING_CONTENT);
    reasons.push(answer.refusal?.reason);
  }
  const crashes = [...site.engines.values()].flatMap(({ history }) => history)
    .filter(({ body }) => body.includes(CRASHING_CONTENT)).length;
  assert.is.not(crashes, 0);
  assert.ok(crashes <= MAX_CRASHES, `ran on ${crashes} upstreams`);
  assert.is(reasons.at(-1), RefusalReason.Quarantined);
});

test("all other requests in the crashed batches are answered", async () => {
  for (const [index, call] of sharedBatchCalls.entries()) {
    const answer = await call.answer;
    assert.is(answer.status, 200, describeAnswer(answer));
    assert.match(answer.text, `adapter-${index % 2}@v1#${TOKENS - 1}`);
  }
});

test("requests that shared a batch with a crashing request are not quarantined", async () => {
  for (const [round, daemon] of site.daemonIds.entries()) {
    const answers = await Promise.all(
      Array.from(
        { length: 8 },
        (_, index) =>
          site.call(daemon, `adapter-${index % 2}`, `neighbour ${index}`),
      ),
    );
    for (const [index, answer] of answers.entries()) {
      assert.ok(
        isExactAnswer(answer, `adapter-${index % 2}@v1`, TOKENS),
        `round ${round}: ${describeAnswer(answer)}`,
      );
    }
  }
});

test.run();
