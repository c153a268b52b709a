/**
 * Entries of another writer among those of the replicas: present at the start,
 * written while the store is watched, and removed again. They name no replica to
 * use, and the others are used as before.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const CALLS = 20;
const NESTED = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

/** Values that another writer leaves under the replicas' prefix. */
function listOddValues(): [string, unknown][] {
  const [service] = harness.services;
  const [engine] = harness.engines;
  const plain = { ...service?.describe("orders") };
  const onEngine = { ...engine?.describe("briefs") };
  return [
    ["port-70000", { ...plain, addr: "127.0.0.1:70000" }],
    ["engine-port-70000", { ...onEngine, addr: "127.0.0.1:70000" }],
    ["port-0", { ...plain, addr: "127.0.0.1:0" }],
    ["no-ip", { ...plain, addr: "999.1.1.1:80" }],
    ["slots", { ...plain, slots: 9e15, addr: "127.0.0.1:70000" }],
    ["born", { ...onEngine, born: 9e15 }],
    ["number", JSON.stringify(plain).replace('"slots":8', '"slots":1e999')],
    ["nested", NESTED],
    ["deep-field", JSON.stringify(plain).replace("[]", NESTED)],
    ["null", "null"],
    ["empty", ""],
    ["bytes", "\u0000\u0001{"],
  ];
}

function putOddEntries(): void {
  for (const [name, value] of listOddValues()) {
    harness.store.put(`servers/odd-${name}`, value);
  }
}

function removeOddEntries(): void {
  for (const [name] of listOddValues()) {
    harness.store.remove(`servers/odd-${name}`);
  }
}

async function assertServed(): Promise<void> {
  for (const path of ["/safe/1", "/unsafe/1", "/brief/1"]) {
    const answers = await Promise.all(
      Array.from({ length: CALLS }, () => harness.call(path)),
    );
    const statuses = answers.map(({ status }) => status);
    assert.equal(statuses, Array(CALLS).fill(200), path);
  }
}

test.before(async () => {
  harness.arrange = putOddEntries;
  await harness.start({ gateways: 2, engines: 2, services: 2 });
});
test.after(() => harness.stop());

test("odd entries that are there at the start are not used", assertServed);

test("odd entries that are removed change nothing", async () => {
  removeOddEntries();
  await harness.waitForView();
  await assertServed();
});

test("odd entries that are written while the store is watched are not used, and the watch goes on", async () => {
  putOddEntries();
  await harness.waitForView();
  await assertServed();
});

test("a replica whose entry was overwritten is not used until it registers again", async () => {
  const [replica] = harness.services;
  if (!replica) throw new Error("expected a service, actual none");
  harness.store.put(`servers/${replica.id}`, {
    ...replica.describe("orders"),
    addr: "127.0.0.1:70000",
  });
  await harness.waitForView();
  const before = replica.receivedRequests.length;
  await assertServed();
  assert.is(replica.receivedRequests.length, before);
  harness.register(replica);
  await harness.waitForView();
  await assertServed();
  assert.ok(replica.receivedRequests.length > before);
});

test.run();
