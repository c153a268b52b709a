/** A request that crashes each upstream that runs it, sent again and again by its caller. */
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
const MAX_STRIKES = 2;
/** Nobody pauses here, and a busy machine must not look like it. */
const CORE_SETTINGS = {
  ...SHORT_CORE_SETTINGS,
  peerTimeoutMs: 5_000,
  pauseThresholdMs: 5_000,
  ownershipValidityMs: 5_000,
};
const CRASHING = "CRASH-ENGINE please";
const test = suite("crash");
let site: Site;
let neighbours: RunningCall[] = [];

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 2, engines: 4 }],
    tokens: TOKENS,
    core: CORE_SETTINGS,
  });
  await site.start();
});

test.after(async () => await site.stop());

test("a crashing request is stopped at the bound, through whichever daemon it comes", async () => {
  // Neighbours that have sent nothing yet are retried; whole answers begin at their end.
  const [first = "", second = ""] = site.daemonIds;
  neighbours = Array.from(
    { length: 8 },
    (_, index) =>
      site.startWholeCall(
        index % 2 === 0 ? first : second,
        `adapter-${index % 2}`,
        `neighbour ${index}`,
      ),
  );
  await waitUntil("the neighbours run", () =>
    Promise.resolve(
      [...site.engines.values()].flatMap(({ history }) => history).length >= 8,
    ));
  const reasons = [];
  for (let turn = 0; turn < 4; turn += 1) {
    const daemon = turn % 2 === 0 ? first : second;
    const answer = await site.call(daemon, "adapter-0", CRASHING);
    reasons.push(answer.refusal?.reason);
  }
  const crashes = [...site.engines.values()].flatMap(({ history }) => history)
    .filter(({ body }) => body.includes(CRASHING)).length;
  assert.is.not(crashes, 0);
  assert.ok(crashes <= MAX_STRIKES, `ran on ${crashes} upstreams`);
  assert.is(reasons.at(-1), RefusalReason.Quarantined);
});

test("the neighbours in the batches that it killed are all answered", async () => {
  for (const [index, call] of neighbours.entries()) {
    const answer = await call.answer;
    assert.is(answer.status, 200, describeAnswer(answer));
    assert.match(answer.text, `adapter-${index % 2}@v1#${TOKENS - 1}`);
  }
});

test("the neighbours of a crashing request are not quarantined", async () => {
  for (const [turn, daemon] of site.daemonIds.entries()) {
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
        `turn ${turn}: ${describeAnswer(answer)}`,
      );
    }
  }
});

test.run();
