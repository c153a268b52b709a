/** Decodes valid entries of the platform's store and malformed ones of other writers. */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EntryDecoder } from "../../platform/entry_decoder.ts";

const decoder = new EntryDecoder();

function decode(key: string, value: unknown) {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return decoder.decode({
    key,
    revision: 1,
    value: Buffer.from(text).toString("base64"),
  });
}

const REPLICA = {
  service: "briefs",
  addr: "10.1.2.3:8080",
  zone: "hobart-a",
  slots: 96,
  state: "ready",
  cold_left_ms: 0,
  seq: 4,
  born: 1_700_000_000_000,
  models: [{ name: "m", version: 1, adapters: ["a3@2", "a7"] }],
};

test("decodes a replica to an upstream with its adapters", () => {
  const change = decode("servers/i-1", REPLICA);
  assert.is(change.kind, "upstream");
  if (change.kind !== "upstream") return;
  assert.is(change.upstream.id, "i-1");
  assert.is(change.upstream.bornAtUnixMs, REPLICA.born);
  assert.equal([...change.upstream.adapters], [["m/a3", 2], ["m/a7", 0]]);
  const draining = decode("servers/i-1", { ...REPLICA, state: "draining" });
  assert.ok(draining.kind === "upstream" && draining.upstream.isLeaving);
});

const UNUSABLE: [string, unknown][] = [
  ["bytes that are not JSON", "\u0000\u0001{"],
  ["no address", { ...REPLICA, addr: undefined }],
  ["an invalid address", { ...REPLICA, addr: "somewhere" }],
  ["an unknown state", { ...REPLICA, state: "resting" }],
  ["slots that are not a number", { ...REPLICA, slots: "many" }],
  ["a service that is not a string", { ...REPLICA, service: 7 }],
  ["a start time that is not an integer", { ...REPLICA, born: 1.5 }],
  ["a list in place of an object", [REPLICA]],
  ["port 70000", { ...REPLICA, addr: "10.1.2.3:70000" }],
  ["port 0", { ...REPLICA, addr: "10.1.2.3:0" }],
  ["an address that would be looked up", { ...REPLICA, addr: "999.1.1.1:80" }],
  ["this machine's address", { ...REPLICA, addr: "0.0.0.0:80" }],
  ["more slots than a replica can have", { ...REPLICA, slots: 9e15 }],
  [
    "a number beyond all numbers",
    JSON.stringify(REPLICA).replace("96", "1e999"),
  ],
  ["a start time beyond any date", { ...REPLICA, born: 9e15 }],
  ["a start time before the epoch", { ...REPLICA, born: -1 }],
  ["a million levels of nesting", "[".repeat(1e6) + "]".repeat(1e6)],
  [
    "a field of a million levels",
    JSON.stringify({ ...REPLICA, models: 0 })
      .replace('"models":0', `"models":${"[".repeat(1e6)}${"]".repeat(1e6)}`),
  ],
];

test("an entry with a field of a million levels that no schema names is decoded", () => {
  const nested = `${"[".repeat(1e6)}${"]".repeat(1e6)}`;
  const text = JSON.stringify({ ...REPLICA, extra: 0 })
    .replace('"extra":0', `"extra":${nested}`);
  assert.is(decode("servers/i-1", text).kind, "upstream");
});

test("the reason for an entry with thousands of faults has a bounded length", () => {
  const models = Array.from({ length: 20_000 }, () => ({ name: 7 }));
  const change = decode("servers/i-1", { ...REPLICA, models });
  assert.is(change.kind, "unusable");
  if (change.kind !== "unusable") return;
  assert.ok(change.reason.length <= 400, `${change.reason.length} characters`);
  assert.match(change.reason, "models.0.name");
});

test("adapter versions that no replica can have count as none", () => {
  const models = [{ name: "m", adapters: ["a1@1e300", "a2@-1", "a3@1.5"] }];
  const change = decode("servers/i-1", { ...REPLICA, models });
  assert.ok(change.kind === "upstream");
  if (change.kind !== "upstream") return;
  assert.equal([...change.upstream.adapters.values()], [0, 0, 0]);
});

for (const [name, value] of UNUSABLE) {
  test(`decodes an entry with ${name} to unusable`, () => {
    assert.is(decode("servers/i-1", value).kind, "unusable");
  });
}

test("decodes a removed replica to upstreamGone with its id", () => {
  const change = decoder.decode({
    key: "servers/i-1",
    revision: 2,
    value: undefined,
  });
  assert.equal(change, { kind: "upstreamGone", id: "i-1" });
});

test("decodes a configuration with its limits, engines and split routes", () => {
  const change = decode("op/config", {
    version: 7,
    routes: [{
      name: "r",
      host: "h",
      prefix: "/p/",
      kind: "stream",
      timeout_ms: 5_000,
      target_latency_ms: 1_000,
      priority: 1,
      split: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }],
      attempts: 2,
      resumable: true,
    }],
    services: [{
      name: "a",
      max_conns: 500,
      engine: {
        slots: 96,
        kv_capacity: 183_499,
        adapter_slots: 8,
        weights_mb: 35_300,
        models: [{ name: "m", weights_mb: 34_300, load_s: 0.6 }],
      },
    }],
    limits: {
      max_body_bytes: 10,
      header_timeout_ms: 20,
      idle_timeout_ms: 30,
    },
  });
  assert.is(change.kind, "configuration");
  if (change.kind !== "configuration") return;
  const { routes, services } = change.configuration;
  assert.is(routes[0]?.targets.length, 2);
  assert.ok(routes[0]?.isResumable);
  assert.is(services[0]?.engine?.models[0]?.loadMs, 600);
});

test("decodes an adapter version to the adapter's path and version", () => {
  const value = { model: "m", adapter: "a3", version: 5 };
  assert.equal(decode("op/version/m.a3", value), {
    kind: "adapterVersion",
    adapterPath: "m/a3",
    version: 5,
  });
});

test.run();
