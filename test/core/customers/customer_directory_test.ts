/** Customers are found by their keys, of which only hashes are kept. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CustomerDirectory,
  hashApiKey,
  type PublishedCustomer,
} from "../../../src/core/customers/customer_directory.ts";

function createCustomer(name: string, keys: string[]): PublishedCustomer {
  return {
    name,
    keyHashes: keys.map(hashApiKey),
    priorityRank: undefined,
    allotment: undefined,
  };
}

test("each of a customer's keys finds it, a removed or empty one finds nobody", () => {
  const before = new CustomerDirectory([
    createCustomer("mill-1", ["k1", "k2"]),
    createCustomer("mill-2", ["k3"]),
  ]);
  assert.is(before.findByKey("k2")?.name, "mill-1");
  assert.is(before.findByKey("k3")?.name, "mill-2");
  assert.is(before.findByKey(""), undefined);
  assert.is(before.findByKey("k1, k2"), undefined);
  const after = new CustomerDirectory([createCustomer("mill-1", ["k2"])]);
  assert.is(after.findByKey("k1"), undefined);
  assert.is(after.findByKey("k3"), undefined);
  assert.is(after.findByName("mill-1")?.name, "mill-1");
});

test("a dump of the directory shows no key", () => {
  const directory = new CustomerDirectory([
    createCustomer("mill-1", ["secret-key"]),
  ]);
  assert.not.match(JSON.stringify(directory.list()), "secret-key");
});

test("a key is found among 10,000 as fast as among 10, within a factor", () => {
  const measureMs = (count: number): number => {
    const directory = new CustomerDirectory([
      createCustomer(
        "mill",
        Array.from({ length: count }, (_, index) => `k${index}`),
      ),
    ]);
    const startedAt = performance.now();
    for (let call = 0; call < 20_000; call += 1) {
      directory.findByKey(`k${call % 10}`);
    }
    return performance.now() - startedAt;
  };
  measureMs(10);
  const few = Math.min(measureMs(10), measureMs(10), measureMs(10));
  const many = Math.min(measureMs(10_000), measureMs(10_000));
  assert.ok(many < 5 * few, `${many} ms against ${few} ms`);
});

test.run();
