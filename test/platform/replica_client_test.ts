/** What the client of the platform's replicas makes of their reports. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { ReplicaClient } from "../../platform/replica_client.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const replica = new FakePlatformReplica("i-1", true);
const client = new ReplicaClient(UNLIMITED_MEMORY);

test.before(async () => {
  await replica.start();
});
test.after(() => replica.stop());

async function readAgeMs(): Promise<number> {
  const { ageMs } = await client.readReport(replica, performance.now());
  return ageMs;
}

test("a replica's age includes the time for which this process was suspended, and no step of the clock that is over", async () => {
  const dateNow = Date.now;
  const suspendedMs = 60_000;
  const ageMs = await readAgeMs();
  try {
    // As after a suspension, only the wall clock has moved on.
    Date.now = () => dateNow() + suspendedMs;
    const laterMs = await readAgeMs();
    assert.ok(laterMs - ageMs >= suspendedMs);
    assert.ok(laterMs - ageMs < suspendedMs + 10_000);
  } finally {
    Date.now = dateNow;
  }
  assert.ok(await readAgeMs() < ageMs + 10_000);
});

test.run();
