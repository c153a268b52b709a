/** Contract with the platform (configuration service, host list and weight store): one row per fault. */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeStore } from "../../fakes/fake_store.ts";
import { ContractBench } from "./contract_bench.ts";

const MAX_VALUE_BYTES = 1_048_576;

const platform = suite<{ bench: ContractBench }>("platform");

platform.before.each((context) => {
  context.bench = new ContractBench({ engines: 2 });
});

platform.after.each(async ({ bench }) => {
  await bench.stop();
});

interface ConfigurationRow {
  fault: string;
  /** Breaks the service or publishes an invalid revision. */
  arrange: (bench: ContractBench) => void;
  counter: string;
  /** Repairs the service. */
  repair?: (bench: ContractBench) => void;
}

const ROUTES_FAULTS: [string, Record<string, unknown>][] = [
  ["unknown pool", { pool: "other" }],
  ["unknown customer", { customer: "other" }],
  ["duplicate route", { name: "letters" }],
  ["missing version", { version: "" }],
  ["unknown key", { colour: "red" }],
  ["value of another type", { maxRunMs: "long" }],
];

const CONFIGURATION_ROWS: ConfigurationRow[] = [
  ...ROUTES_FAULTS.map(([fault, route]) => ({
    fault: `invalid revision: ${fault}`,
    arrange: (bench: ContractBench) => bench.publishTables(route),
    counter: "tables.invalid",
  })),
  {
    fault: "invalid revision: malformed YAML",
    arrange: ({ configuration }) => configuration.setKey("routes", "routes: ["),
    counter: "tables.invalid",
  },
  {
    fault: "invalid revision: aliases that expand exponentially",
    arrange: ({ configuration }) =>
      configuration.setKey("routes", formatAliasBomb()),
    counter: "tables.invalid",
  },
  {
    fault: "invalid revision: value over a megabyte",
    arrange: (bench) =>
      bench.configuration.setKey(
        "routes",
        `${bench.formatRoutes()}\n#${"x".repeat(MAX_VALUE_BYTES)}`,
      ),
    counter: "tables.invalid",
  },
  {
    fault: "keys at different revisions in every read",
    arrange: (bench) => {
      bench.configuration.faults.tornReads = 1_000_000;
      bench.publishTables();
    },
    counter: "platform_unread.readTables",
    repair: ({ configuration }) => configuration.faults.tornReads = 0,
  },
  {
    fault: "service down",
    arrange: ({ configuration }) => configuration.setDown(true),
    counter: "platform_unread.readTables",
    repair: ({ configuration }) => configuration.setDown(false),
  },
  {
    fault: "responses that are not JSON",
    arrange: ({ configuration }) => {
      configuration.faults.isGarbled = true;
      configuration.dropConnections();
    },
    counter: "platform_unread.readTables",
    repair: ({ configuration }) => configuration.faults.isGarbled = false,
  },
  {
    fault: "service at an older revision",
    arrange: ({ configuration }) => {
      configuration.faults.staleAtRevision = 2;
      configuration.dropConnections();
    },
    counter: "tables.stale",
    repair: ({ configuration }) => configuration.faults.staleAtRevision = 0,
  },
];

/** Returns a short YAML text of nine lists, each with nine aliases of the one before. */
function formatAliasBomb(): string {
  const lines = Array.from({ length: 9 }, (_, level) => {
    const items = Array(9).fill(level === 0 ? "x" : `*l${level - 1}`);
    return `l${level}: &l${level} [${items.join(", ")}]`;
  });
  return lines.join("\n");
}

for (const row of CONFIGURATION_ROWS) {
  platform(`configuration: ${row.fault}`, async ({ bench }) => {
    await bench.start();
    const before = await bench.getCounters();
    const { tablesRevision } = await bench.getStatus();
    row.arrange(bench);
    if (row.counter !== "") await bench.waitForCounter(row.counter, before);
    const meanwhile = await bench.call();
    assert.is(meanwhile.headers.get("x-adapter-version"), "v1");
    assert.ok((await bench.getStatus()).tablesRevision >= tablesRevision);
    row.repair?.(bench);
    bench.publishTables({ version: "v2" });
    await bench.waitUntil("the next valid revision is active", async () => {
      const answer = await bench.call();
      return answer.headers.get("x-adapter-version") === "v2";
    });
  });
}

platform(
  "configuration: a read with keys at different revisions is repeated",
  async ({ bench }) => {
    bench.configuration.faults.tornReads = 1;
    await bench.start();
    assert.is(bench.configuration.faults.tornReads, 0);
    assert.is((await bench.call()).status, 200);
  },
);

platform("configuration: down at the start, then up", async ({ bench }) => {
  await bench.startFakes();
  bench.publishTables();
  bench.publishHosts();
  bench.configuration.setDown(true);
  await bench.startDaemon();
  const early = await bench.call();
  assert.is(early.status, 503);
  assert.is(early.refusal?.reason, "notReady");
  assert.is(early.refusal?.outcome, "notRun");
  assert.ok(early.headers.get("retry-after"));
  assert.is((await fetch(`http://${bench.operators}/readyz`)).status, 503);
  assert.is((await fetch(`http://${bench.operators}/healthz`)).status, 200);
  bench.configuration.setDown(false);
  await bench.waitUntil("the daemon serves", async () => {
    return (await fetch(`http://${bench.operators}/readyz`)).status === 200;
  });
  assert.is((await bench.call()).status, 200);
});

interface HostRow {
  fault: string;
  arrange: (bench: ContractBench) => void;
  counter: string;
}

const HOST_ROWS: HostRow[] = [
  {
    fault: "down",
    arrange: ({ hostList }) => hostList.faults.down = true,
    counter: "platform_unread.readHostList",
  },
  {
    fault: "responses that are not JSON",
    arrange: ({ hostList }) => hostList.faults.isGarbled = true,
    counter: "platform_unread.readHostList",
  },
  {
    fault: "host of an unknown role",
    arrange: ({ hostList }) =>
      hostList.setHosts([
        { ...hostList.getHosts()[0], role: "other" } as never,
      ]),
    counter: "platform_unread.readHostList",
  },
  {
    fault: "an older revision without the upstreams",
    arrange: ({ hostList }) => {
      hostList.faults.answeredRevision = 1;
      hostList.setHosts([]);
    },
    counter: "host_list.stale",
  },
];

for (const row of HOST_ROWS) {
  platform(`host list: ${row.fault}`, async ({ bench }) => {
    await bench.start();
    const before = await bench.getCounters();
    const { hostListRevision } = await bench.getStatus();
    row.arrange(bench);
    await bench.waitForCounter(row.counter, before);
    assert.is((await bench.call()).status, 200);
    assert.is((await bench.getStatus()).hostListRevision, hostListRevision);
  });
}

const ODD_HOSTS: [string, object][] = [
  ["a port out of range", { address: "127.0.0.1:70000" }],
  ["port 0", { address: "127.0.0.1:0" }],
  ["an address that would be looked up", { address: "somewhere:80" }],
  ["an unknown role", { role: "other" }],
  ["no failure domain", { failureDomain: undefined }],
  ["a state that is a number", { state: 1e300 }],
  ["deep nesting", {
    service: JSON.parse(`${"[".repeat(900)}${"]".repeat(900)}`),
  }],
];

for (const [name, fields] of ODD_HOSTS) {
  platform(
    `host list: one entry with ${name} does not keep the others from being followed`,
    async ({ bench }) => {
      await bench.start();
      const before = await bench.getCounters();
      const { hostListRevision } = await bench.getStatus();
      const hosts = bench.hostList.getHosts();
      const odd = { ...hosts.at(-1), id: "odd", ...fields } as never;
      bench.hostList.setHosts([odd, ...hosts]);
      await bench.waitUntil(
        "the new host list is active",
        async () =>
          (await bench.getStatus()).hostListRevision > hostListRevision,
      );
      assert.is((await bench.call()).status, 200);
      await bench.waitForCounter("host_list.unusable", before);
      bench.hostList.setHosts(hosts);
      await bench.waitUntil(
        "the host list without it is active",
        async () =>
          (await bench.getStatus()).hostListRevision > hostListRevision + 1,
      );
      assert.is((await bench.call()).status, 200);
    },
  );
}

platform(
  "host list: a leaving upstream gets no new requests",
  async ({ bench }) => {
    await bench.start();
    await bench.call();
    const { hostListRevision } = await bench.getStatus();
    bench.publishHosts({ state: "leaving" });
    await bench.waitUntil(
      "the new host list is active",
      async () => (await bench.getStatus()).hostListRevision > hostListRevision,
    );
    const runs = bench.engines.flatMap((engine) => engine.history).length;
    const answer = await bench.call();
    assert.is(answer.refusal?.outcome, "notRun", answer.text);
    assert.ok(answer.headers.get("retry-after"));
    assert.is(bench.engines.flatMap((engine) => engine.history).length, runs);
  },
);

platform(
  "host list: an upstream that reports that it is leaving gets no new requests",
  async ({ bench }) => {
    await bench.start();
    for (const engine of bench.engines) engine.faults.leaving = true;
    await bench.waitUntil("new requests are refused", async () => {
      const answer = await bench.call();
      return answer.refusal?.outcome === "notRun";
    });
  },
);

interface StoreRow {
  fault: string;
  failLoads: number;
  status: number;
  reason?: string;
}

const STORE_ROWS: StoreRow[] = [
  {
    fault: "every load fails",
    failLoads: 1_000,
    status: 503,
    reason: "loadFailed",
  },
  { fault: "one load fails", failLoads: 1, status: 200 },
];

for (const row of STORE_ROWS) {
  platform(`weight store: ${row.fault}`, async (context) => {
    const store = new FakeStore({
      loadsPerSecond: 100,
      loadTimeMs: 20,
      maxInFlight: 8,
    });
    await store.start();
    store.faults.failLoads = row.failLoads;
    context.bench = new ContractBench({
      engines: 2,
      engine: { storeAddress: store.address },
    });
    const { bench } = context;
    await bench.start();
    const answer = await bench.call();
    assert.is(answer.status, row.status, answer.text);
    assert.is(answer.refusal?.reason, row.reason);
    if (row.reason !== undefined) {
      assert.is(answer.refusal?.outcome, "notRun");
      assert.ok(answer.headers.get("retry-after"));
    }
    await store.stop();
  });
}

platform(
  "weight store: loads in flight stay within the limit",
  async (context) => {
    const store = new FakeStore({
      loadsPerSecond: 1_000,
      loadTimeMs: 60,
      maxInFlight: 1,
    });
    await store.start();
    context.bench = new ContractBench({
      engines: 2,
      engine: { storeAddress: store.address },
      settings: { core: { storeLoadsInFlight: 1 } },
    });
    const { bench } = context;
    await bench.start();
    const answers = await Promise.all(
      ["briefing", "letters"].map((model) =>
        bench.call({
          model,
          token: model === "letters" ? "solljus-token" : "derwent-token",
        })
      ),
    );
    assert.equal(answers.map((answer) => answer.status), [200, 200]);
    assert.is(store.peakInFlight, 1);
    await store.stop();
  },
);

platform.run();
