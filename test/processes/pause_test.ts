/**
 * Guards against daemons that are paused (SIGSTOP) until their leases or
 * ownership have expired and that then act on outdated state: an owner would
 * evict adapters in use, an entry would dispatch under an expired lease.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { type RunningCall } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import {
  describeAnswer,
  isExactAnswer,
  SHORT_CORE_SETTINGS,
  Site,
} from "../../scripts/site.ts";

const TOKENS = 60;
/**
 * Short, so that the old owner no longer has to wait for leases of its own
 * predecessors.
 */
const MAX_RUN_MS = 3_000;
const test = suite("pause");
let site: Site | undefined;

test.after.each(async () => await site?.stop());

async function startSite(
  fencing: "checked" | "ignored",
  core: Record<string, number> = {},
): Promise<Site> {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 3, engines: 1 }],
    tokens: TOKENS,
    maxRunMs: MAX_RUN_MS,
    fencing,
    core: { ...SHORT_CORE_SETTINGS, ...core },
  });
  await site.start();
  return site;
}

async function expectExact(
  calls: readonly RunningCall[],
  adapters: readonly string[],
): Promise<void> {
  for (const [index, call] of calls.entries()) {
    const answer = await call.answer;
    assert.ok(
      isExactAnswer(answer, `${adapters[index]}@v1`, TOKENS),
      `${adapters[index]}: ${describeAnswer(answer)}`,
    );
  }
}

/**
 * Pauses an owner that has a load waiting for a free adapter slot. Its
 * successor carries out that load and then loads other adapters, unknown to the
 * old owner. These are in use when the old owner continues, partitioned from
 * its peers.
 */
async function pauseOwner(fencing: "checked" | "ignored"): Promise<void> {
  const startedSite = await startSite(fencing);
  const { fleet } = startedSite;
  const owner = await startedSite.getOwner("engine-hobart-a-1");
  const [first = "", second = ""] = startedSite.daemonIds.filter((id) =>
    id !== owner
  );
  const streams = await startedSite.startStreams(first, [
    "adapter-0",
    "adapter-1",
  ]);
  const waitingCall = startedSite.startCall(second, "adapter-2");
  await waitUntil("the owner queues the third adapter", async () => {
    const { upstreams } = await fleet.getStatus(owner);
    return upstreams.some((upstream) => upstream.waiting > 0);
  });
  await fleet.block(owner, { peers: [first, second] });
  fleet.signal(owner, "SIGSTOP");
  await startedSite.waitUntilOwned([first, second]);
  await expectExact([...streams, waitingCall], [
    "adapter-0",
    "adapter-1",
    "adapter-2",
  ]);
  const running = await startedSite.startStreams(first, [
    "adapter-4",
    "adapter-5",
  ]);
  fleet.signal(owner, "SIGCONT");
  await waitUntil(
    "the old owner detects its pause",
    async () => await fleet.getCounter(owner, "pause_detected") > 0,
  );
  await expectExact(running, ["adapter-4", "adapter-5"]);
  assert.is(startedSite.countEvictionsInUse(), 0);
  await fleet.block(owner, {});
  await expectExact([startedSite.startCall(owner, "adapter-6")], ["adapter-6"]);
  assert.is(startedSite.countEvictionsInUse(), 0);
}

test("an owner paused past its ownership evicts no adapter in use, fencing checked", async () => {
  await pauseOwner("checked");
});

test("an owner paused past its ownership evicts no adapter in use, fencing ignored", async () => {
  await pauseOwner("ignored");
});

test("an entry paused past its lease dispatches nothing under it", async () => {
  const startedSite = await startSite("checked", { leaseIdleMs: 60_000 });
  const { fleet } = startedSite;
  const owner = await startedSite.getOwner("engine-hobart-a-1");
  const [entry = "", other = ""] = startedSite.daemonIds.filter((id) =>
    id !== owner
  );
  const engine = startedSite.getEngine();
  engine.options.tokens = 2;
  await startedSite.call(entry, "adapter-0");
  engine.options.tokens = TOKENS;
  // The entry holds a credit when it is paused, and gets a call while paused.
  fleet.signal(entry, "SIGSTOP");
  const lateCall = startedSite.startCall(entry, "adapter-0");
  const others = ["adapter-1", "adapter-2"];
  const running = await startedSite.startStreams(other, others);
  const residents = engine.getResidents().sort();
  assert.equal(residents, others.map((id) => `${id}@v1`));
  fleet.signal(entry, "SIGCONT");
  await waitUntil(
    "the entry detects its pause",
    async () => await fleet.getCounter(entry, "pause_detected") > 0,
  );
  await expectExact([...running, lateCall], [...others, "adapter-0"]);
  assert.is(await fleet.getCounter(entry, "retried.refusedByUpstream"), 0);
  assert.is(startedSite.countEvictionsInUse(), 0);
});

test.run();
