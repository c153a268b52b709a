/**
 * The store comes back from an older copy, so that revisions are given out
 * again: what is written afterwards comes into force at all gateways, requests
 * are served all the while, and nothing goes back because writes were lost.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildPlatformRoute } from "../../fakes/platform_configuration.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const GATEWAYS = 3;
/** Time within which a configuration has to be in force. */
const APPLY_MS = 2_000;
/** Writes by which the lost history is ahead of the restored one. */
const LOST_WRITES = 50;

test.before(() =>
  harness.start({ gateways: GATEWAYS, engines: 1, services: 2 })
);
test.after(() => harness.stop());

function createRoute(name: string): object {
  return buildPlatformRoute(name, "safe", "orders");
}

async function listStatuses(path: string): Promise<number[]> {
  const answers = await Promise.all(
    Array.from(
      { length: GATEWAYS },
      (_, gateway) => harness.call(path, { gateway }),
    ),
  );
  return answers.map(({ status }) => status);
}

async function assertInForce(path: string): Promise<void> {
  const served = Array(GATEWAYS).fill(200).join();
  await harness.waitFor(
    async () => (await listStatuses(path)).join() === served,
    APPLY_MS,
  );
}

/** Writes what is lost when the store goes back to the copy. */
function writeLostHistory(): void {
  const [replica] = harness.services;
  for (let count = 0; count < LOST_WRITES; count += 1) {
    if (replica) harness.register(replica);
  }
}

test("a configuration that is written after a restore, below the lost revisions, is in force in time", async () => {
  const copy = harness.store.createCopy();
  harness.publish([createRoute("lost")]);
  writeLostHistory();
  await assertInForce("/lost/1");
  harness.store.returnTo(copy);
  harness.publish([createRoute("lost")], harness.version);
  await waitMs(300);
  harness.publish([createRoute("restored")]);
  await assertInForce("/restored/1");
});

test("an older configuration is not in force because the newer one was lost", async () => {
  harness.publish([createRoute("old")]);
  await assertInForce("/old/1");
  const copy = harness.store.createCopy();
  harness.publish([createRoute("new")]);
  await assertInForce("/new/1");
  harness.store.returnTo(copy);
  await harness.waitForView();
  assert.equal(await listStatuses("/new/1"), Array(GATEWAYS).fill(200));
  assert.equal(await listStatuses("/old/1"), Array(GATEWAYS).fill(404));
});

test("a lower version that the operator writes after a restore is in force in time", async () => {
  const copy = harness.store.createCopy();
  const { version } = harness;
  harness.publish([createRoute("higher")], version + 20);
  await assertInForce("/higher/1");
  harness.store.returnTo(copy);
  harness.publish([createRoute("lower")], version + 1);
  await assertInForce("/lower/1");
});

test("the version of a lost configuration may be used again for another one", async () => {
  const copy = harness.store.createCopy();
  harness.publish([createRoute("first")]);
  await assertInForce("/first/1");
  harness.store.returnTo(copy);
  harness.publish([createRoute("second")], harness.version);
  await assertInForce("/second/1");
});

test("restores that follow each other, and requests during them", async () => {
  const statuses: number[] = [];
  let isOver = false;
  const requests = (async () => {
    while (!isOver) {
      statuses.push(...await listStatuses("/safe/1"));
      await waitMs(20);
    }
  })();
  for (let count = 0; count < 3; count += 1) {
    const copy = harness.store.createCopy();
    harness.publish([createRoute(`lost-${count}`)]);
    writeLostHistory();
    await waitMs(300);
    harness.store.returnTo(copy);
    await waitMs(100);
  }
  harness.publish([createRoute("last")]);
  await assertInForce("/last/1");
  isOver = true;
  await requests;
  assert.ok(statuses.every((status) => status === 200));
});

test("a replica that the restored store does not list serves until it registers again", async () => {
  const [first, second] = harness.services;
  if (!first || !second) throw new Error("expected two services");
  harness.store.remove(`servers/${first.id}`);
  await harness.waitForView();
  const copy = harness.store.createCopy();
  harness.register(first);
  harness.store.remove(`servers/${second.id}`);
  await harness.waitForView();
  harness.store.returnTo(copy);
  harness.store.remove(`servers/${second.id}`);
  await waitMs(1_000);
  assert.equal(await listStatuses("/safe/1"), Array(GATEWAYS).fill(200));
  harness.register(first);
  harness.register(second);
  await harness.waitForView();
  await waitMs(2_000);
  assert.equal(await listStatuses("/safe/1"), Array(GATEWAYS).fill(200));
});

for (const era of ["", "not a number", undefined]) {
  test(`an answer with the era ${JSON.stringify(era)} belongs to the last known era`, async () => {
    const known = harness.store.era;
    harness.store.era = era;
    const name = `era-${era?.length ?? "none"}`;
    harness.publish([createRoute(name)]);
    await assertInForce(`/${name}/1`);
    harness.store.era = known;
    harness.publish([createRoute(`${name}-known`)]);
    await assertInForce(`/${name}-known/1`);
  });
}

test.run();
