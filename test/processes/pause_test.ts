/** Daemons that sleep past their leases and wake late, still believing old things. */
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
/** Short, so that the old owner's own wait for its predecessors is over. */
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
 * An owner sleeps with a load due as soon as a slot is free. Its successor
 * serves that load and then other adapters, of which the old owner has never
 * heard; they are in use when it wakes, cut off from its peers.
 */
async function pauseOwner(fencing: "checked" | "ignored"): Promise<void> {
  const current = await startSite(fencing);
  const { fleet } = current;
  const owner = await current.getOwner("engine-hobart-a-1");
  const [first = "", second = ""] = current.daemonIds.filter((id) =>
    id !== owner
  );
  const held = await current.startStreams(first, ["adapter-0", "adapter-1"]);
  const waiting = current.startCall(second, "adapter-2");
  await waitUntil("the owner queues the third adapter", async () => {
    const { upstreams } = await fleet.getStatus(owner);
    return upstreams.some((upstream) => upstream.waiting > 0);
  });
  await fleet.cut(owner, { peers: [first, second] });
  fleet.signal(owner, "SIGSTOP");
  await current.waitUntilOwned([first, second]);
  await expectExact([...held, waiting], [
    "adapter-0",
    "adapter-1",
    "adapter-2",
  ]);
  const running = await current.startStreams(first, ["adapter-4", "adapter-5"]);
  fleet.signal(owner, "SIGCONT");
  await waitUntil(
    "the old owner notices its pause",
    async () => await fleet.getCounter(owner, "pause_detected") > 0,
  );
  await expectExact(running, ["adapter-4", "adapter-5"]);
  assert.is(current.countEvictionsInUse(), 0);
  await fleet.cut(owner, {});
  await expectExact([current.startCall(owner, "adapter-6")], ["adapter-6"]);
  assert.is(current.countEvictionsInUse(), 0);
}

test("an owner that wakes late evicts nothing in use, fencing checked", async () => {
  await pauseOwner("checked");
});

test("an owner that wakes late evicts nothing in use, fencing ignored", async () => {
  await pauseOwner("ignored");
});

test("an entry that wakes late dispatches nothing under its old lease", async () => {
  const current = await startSite("checked", { leaseIdleMs: 60_000 });
  const { fleet } = current;
  const owner = await current.getOwner("engine-hobart-a-1");
  const [entry = "", other = ""] = current.daemonIds.filter((id) =>
    id !== owner
  );
  const engine = current.getEngine();
  engine.options.tokens = 2;
  await current.call(entry, "adapter-0");
  engine.options.tokens = TOKENS;
  // The entry still holds its credit when it falls asleep, and is called while it sleeps.
  fleet.signal(entry, "SIGSTOP");
  const late = current.startCall(entry, "adapter-0");
  const others = ["adapter-1", "adapter-2"];
  const running = await current.startStreams(other, others);
  const residents = engine.getResidents().sort();
  assert.equal(residents, others.map((id) => `${id}@v1`));
  fleet.signal(entry, "SIGCONT");
  await waitUntil(
    "the entry notices its pause",
    async () => await fleet.getCounter(entry, "pause_detected") > 0,
  );
  await expectExact([...running, late], [...others, "adapter-0"]);
  assert.is(await fleet.getCounter(entry, "retried.refusedByUpstream"), 0);
  assert.is(current.countEvictionsInUse(), 0);
});

test.run();
