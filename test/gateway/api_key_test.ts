/** Keys of callers, over a configuration with customers that changes in use. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildPlatformRoute } from "../../fakes/platform_configuration.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();

test.before(async () => {
  harness.tenants = [
    { name: "mill-1", api_keys: ["key-a", "key-b"], priority: 3 },
    { name: "mill-2", api_keys: ["key-c"] },
  ];
  harness.extraRoutes = [
    buildPlatformRoute("open", "safe", "orders", { public: true }),
  ];
  await harness.start({ gateways: 2, engines: 1, services: 2 });
});
test.after(() => harness.stop());

function call(path: string, headers: Record<string, string>, id?: string) {
  return harness.call(path, { headers, ...(id === undefined ? {} : { id }) });
}

test("UNASKED: an upstream gets the name of the customer that holds the key, and never the key", async () => {
  for (const path of ["/safe/1", "/unsafe/1", "/brief/1"]) {
    const id = `named${path}`;
    const headers = { "X-Key": "key-b", "X-Tenant": "mill-2" };
    assert.is((await call(path, headers, id)).status, 200, path);
    const [run] = harness.listRuns(id);
    assert.is(run?.headers["x-tenant"], "mill-1", path);
    assert.not.match(JSON.stringify(run?.headers), "key-b", path);
  }
});

test("a customer's priority goes before that of its routes", async () => {
  await call("/brief/1", { "X-Key": "key-a" }, "urgent-customer");
  await call("/brief/1", { "X-Key": "key-c" }, "urgent-route");
  const find = (id: string) => harness.listRuns(id)[0];
  assert.is(find("urgent-customer")?.headers["x-request-priority"], "3");
  assert.is(find("urgent-route")?.headers["x-request-priority"], "1");
});

for (
  const [name, headers] of [
    ["an unknown key", { "X-Key": "key-x" }],
    ["no key", {}],
    ["an empty key", { "X-Key": "" }],
    ["two keys", { "X-Key": "key-a, key-b" }],
    ["8 KB of key", { "X-Key": "k".repeat(8_192) }],
    ["the customer's name in place of the key", { "X-Tenant": "mill-1" }],
    ["a relaying peer's header", { "X-Relay-Customer": "mill-1" }],
  ] as const
) {
  test(`ROUTE: a request with ${name} gets 401 and is not run`, async () => {
    const id = `refused ${name}`;
    const { status, body } = await call("/unsafe/1", headers, id);
    assert.is(status, 401);
    assert.not.match(body, "key-");
    assert.is(harness.countRuns(id), 0);
  });
}

test("UNASKED: on a public route no key is asked for, and neither key nor customer reach the upstream", async () => {
  const headers = { "X-Key": "key-a", "X-Tenant": "mill-1" };
  assert.is((await call("/open/1", {}, "open-none")).status, 200);
  assert.is((await call("/open/1", headers, "open-key")).status, 200);
  const [run] = harness.listRuns("open-key");
  assert.is(run?.headers["x-key"], undefined);
  assert.is(run?.headers["x-tenant"], undefined);
});

test("CONFIG: a key that is taken away is refused on connections that are open, another key of the customer is not", async () => {
  assert.is((await call("/safe/1", { "X-Key": "key-a" })).status, 200);
  harness.tenants = [
    { name: "mill-1", api_keys: ["key-b"] },
    { name: "mill-2", api_keys: [] },
  ];
  harness.publish();
  await harness.waitForView();
  for (const gateway of [0, 1]) {
    for (
      const [key, status] of [["key-a", 401], ["key-b", 200], [
        "key-c",
        401,
      ]] as const
    ) {
      const answer = await harness.call("/safe/1", {
        gateway,
        headers: { "X-Key": key },
      });
      assert.is(answer.status, status, `${key} at ${gateway}`);
    }
  }
});

test("a configuration without customers asks for no key", async () => {
  harness.tenants = undefined;
  harness.publish();
  await harness.waitForView();
  assert.is((await call("/safe/1", {}, "no-customers")).status, 200);
  harness.tenants = [{ name: "mill-1", api_keys: ["key-b"] }];
  harness.publish();
  await harness.waitForView();
  assert.is((await call("/safe/1", {}, "customers-again")).status, 401);
});

test.run();
