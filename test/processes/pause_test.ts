/** Daemons that sleep past their leases and wake late, still believing old things. */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { type RunningCall } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";

const TOKENS = 60;
const test = suite("pause");
let site: Site | undefined;

test.after.each(async () => await site?.stop());

async function startSite(fencing: "checked" | "ignored"): Promise<Site> {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 3, engines: 1 }],
    tokens: TOKENS,
    fencing,
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
 * An owner sleeps with an eviction due as soon as its leases are back. Its
 * successor grants leases on the same adapters; then the old owner wakes.
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
  fleet.signal(owner, "SIGSTOP");
  await current.waitUntilOwned([first, second]);
  await expectExact(held, ["adapter-0", "adapter-1"]);
  await waitUntil(
    "the successor serves the third adapter",
    () => Promise.resolve(current.countRuns("adapter-2@v1") > 0),
  );
  const residents = current.getEngine().getResidents()
    .map((key) => key.split("@")[0] ?? "");
  const running = await current.startStreams(second, [...residents]);
  fleet.signal(owner, "SIGCONT");
  await waitUntil(
    "the old owner notices its pause",
    async () => await fleet.getCounter(owner, "pause_detected") > 0,
  );
  await expectExact([waiting, ...running], ["adapter-2", ...residents]);
  assert.is(current.countEvictionsInUse(), 0);
  const cold = current.startCall(owner, "adapter-5");
  await expectExact([cold], ["adapter-5"]);
  assert.is(current.countEvictionsInUse(), 0);
}

test("an owner that wakes late evicts nothing in use, fencing checked", async () => {
  await pauseOwner("checked");
});

test("an owner that wakes late evicts nothing in use, fencing ignored", async () => {
  await pauseOwner("ignored");
});

test("an entry that wakes late dispatches nothing under its old lease", async () => {
  const current = await startSite("checked");
  const { fleet } = current;
  const owner = await current.getOwner("engine-hobart-a-1");
  const [entry = "", other = ""] = current.daemonIds.filter((id) =>
    id !== owner
  );
  const engine = current.getEngine();
  engine.options.loadTimeMs = 500;
  const call = current.startCall(entry, "adapter-0");
  await waitUntil("the owner loads the adapter", async () => {
    const { upstreams } = await fleet.getStatus(owner);
    return upstreams.some(({ slots }) => slots.length > 0);
  });
  fleet.signal(entry, "SIGSTOP");
  // The grant reaches the sleeping entry; its lease runs out and its adapter has to go.
  await waitUntil("the lease is granted", async () => {
    const { upstreams } = await fleet.getStatus(owner);
    return upstreams.some(({ creditsInUse }) => creditsInUse > 0);
  });
  const others = ["adapter-1", "adapter-2"];
  const running = await current.startStreams(other, others);
  assert.equal(engine.getResidents().sort(), others.map((id) => `${id}@v1`));
  fleet.signal(entry, "SIGCONT");
  await waitUntil(
    "the entry notices its pause",
    async () => await fleet.getCounter(entry, "pause_detected") > 0,
  );
  await expectExact([...running, call], [...others, "adapter-0"]);
  assert.is(await fleet.getCounter(entry, "retried.refusedByUpstream"), 0);
  assert.is(current.countRuns("adapter-0@v1"), 1);
  assert.is(current.countEvictionsInUse(), 0);
});

test.run();
