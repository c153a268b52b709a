/**
 * BUDGET: a request crashes each engine that runs it, and its callers disconnect
 * before the crash and send it again to one daemon after the other. Guards
 * against daemons that attribute no crash to a run whose caller has left: the
 * request would go on crashing engines.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { startCall } from "../../scripts/caller.ts";
import {
  describeAnswer,
  isExactAnswer,
  SHORT_CORE_SETTINGS,
  Site,
} from "../../scripts/site.ts";

const TOKENS = 10;
/** Crashes up to the one from which the rule counts, and what it then allows. */
const COUNTED_CRASHES = 3;
const ALLOWED_AFTER = 3;
/** Time after the counted crash from which on the rule counts. */
const CONTACT_MS = 3_000;
/** Longest time until the request has crashed three engines. */
const CRASHING_MS = 8_000;
/** Time from the beginning of a run to the crash. */
const CRASH_DELAY_MS = 300;
/** Time from the beginning of a run to the departure of its caller. */
const DEPARTURE_MS = CRASH_DELAY_MS - 150;
/** Time after which a caller leaves whose request has not begun to run. */
const UNSERVED_MS = 1_000;
/** Time between two tries. */
const PAUSE_MS = 200;
const LATE_TRIES = 15;
const POLL_MS = 5;
/** Time in which crashed engines are back and known to the daemons. */
const RECOVERY_MS = 3_000;
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

const ROWS = [
  { name: "engines are back after a second", restartAfterMs: 1_000 },
  { name: "engines are back at once", restartAfterMs: 1 },
];

const test = suite("departed callers");
let site: Site;

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 3, engines: 8 }],
    tokens: TOKENS,
    core: CORE_SETTINGS,
  });
  await site.start();
});

test.after(async () => await site.stop());

function listRuns(content: string): string[] {
  return [...site.engines.values()].flatMap(({ history }) => history)
    .filter(({ body }) => body.includes(content))
    .map(({ id }) => id);
}

function countCrashes(): number {
  return [...site.engines.values()]
    .reduce((total, { crashTimes }) => total + crashTimes.length, 0);
}

/**
 * Sends the request; disconnects some time after a run of it has begun, or when
 * none begins.
 */
async function sendAndLeave(daemonId: string, content: string): Promise<void> {
  const caller = new AbortController();
  const runsBefore = listRuns(content).length;
  let isAnswered = false;
  const { answer } = startCall({
    address: site.fleet.getDaemon(daemonId).callers,
    token: site.token,
    body: {
      model: "adapter-0",
      stream: true,
      messages: [{ role: "user", content }],
    },
    signal: caller.signal,
  });
  void answer.then(() => isAnswered = true);
  const gaveUpAt = performance.now() + UNSERVED_MS;
  while (
    !isAnswered && listRuns(content).length === runsBefore &&
    performance.now() < gaveUpAt
  ) {
    await waitMs(POLL_MS);
  }
  if (!isAnswered) await waitMs(DEPARTURE_MS);
  caller.abort();
  await answer;
}

for (const { name, restartAfterMs } of ROWS) {
  test(`a request whose callers leave before it crashes engines is held back: ${name}`, async () => {
    const content = `CRASH-ENGINE after departure, ${name}`;
    const crashesBefore = countCrashes();
    for (const engine of site.engines.values()) {
      Object.assign(engine.faults, {
        crashDelayMs: CRASH_DELAY_MS,
        restartAfterMs,
      });
    }
    let tries = 0;
    const sendNext = async (): Promise<void> => {
      const daemonId = site.daemonIds[tries % site.daemonIds.length] ?? "";
      tries += 1;
      await sendAndLeave(daemonId, content);
      await waitMs(PAUSE_MS);
    };
    const crashingEndsAt = performance.now() + CRASHING_MS;
    const hasCrashedThree = (): boolean =>
      countCrashes() - crashesBefore >= COUNTED_CRASHES;
    while (!hasCrashedThree() && performance.now() < crashingEndsAt) {
      await sendNext();
    }
    const countedFrom = performance.now() + CONTACT_MS;
    while (performance.now() < countedFrom) await sendNext();
    const early = listRuns(content).length;
    for (let index = 0; index < LATE_TRIES; index += 1) await sendNext();
    const late = listRuns(content).length - early;
    const crashes = countCrashes() - crashesBefore;
    await waitMs(RECOVERY_MS);
    const unserved: string[] = [];
    for (let index = 0; index < 2 * site.daemonIds.length; index += 1) {
      const daemonId = site.daemonIds[index % site.daemonIds.length] ?? "";
      const adapter = `adapter-${index % 2}`;
      const answer = await site.call(daemonId, adapter, `sound ${index}`);
      if (isExactAnswer(answer, `${adapter}@v1`, TOKENS)) continue;
      unserved.push(describeAnswer(answer));
    }
    console.log(`${name}: ${early} runs, ${late} late, ${crashes} crashes`);
    assert.ok(crashes >= 2, `crashes ${crashes}`);
    assert.ok(late <= ALLOWED_AFTER, `late runs ${late}`);
    assert.equal(unserved, []);
  });
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

test.run();
