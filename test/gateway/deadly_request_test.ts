/**
 * BUDGET: one request crashes each upstream that runs it, and its caller sends
 * it again and again, with a new id, to gateways that run as processes. From
 * `contact_ms` after its third crash on it reaches upstreams at most three
 * times more, however it crashes them, and sound requests are served.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  CrashingRun,
  FakePlatformReplica,
  ReceivedRequest,
} from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { type CallOptions, GatewayHarness } from "./gateway_harness.ts";
import { GatewayProcess } from "./gateway_process.ts";

const GATEWAYS = 3;
/** Crashes up to the one from which the rule counts, and what it then allows. */
const COUNTED_CRASHES = 3;
const ALLOWED_AFTER = 3;
/** `contact_ms`, from which on the rule counts. */
const CONTACT_MS = 3_000;
/** Longest time until the requests of a row have crashed three upstreams each. */
const CRASHING_MS = 20_000;
/** Time between two tries of one request. */
const PAUSE_MS = 200;
/** Tries of each request after the time from which the rule counts. */
const LATE_TRIES = 15;
/** Time in which crashed upstreams are back and known to the gateways. */
const RECOVERY_MS = 3_000;

interface Row {
  name: string;
  path: string;
  /** Number of such requests at a time. */
  count: number;
  /** Sends of one request at the same moment; one if absent. */
  copies?: number;
  downMs: number;
  findCrash: (run: number) => CrashingRun | undefined;
  createHeaders?: (attempt: number) => Record<string, string>;
  disconnectAfterMs?: number;
}

const crashSoon = () => ({ events: 0, delayMs: 20 });

const ROWS: Row[] = [
  {
    name: "it crashes them before any output",
    path: "/safe/1",
    count: 1,
    downMs: 1_000,
    findCrash: crashSoon,
  },
  {
    name: "it crashes them after two whole events",
    path: "/brief/1",
    count: 1,
    downMs: 1_000,
    findCrash: () => ({ events: 2, delayMs: 40 }),
  },
  {
    name: "it answers in one of three runs",
    path: "/unsafe/1",
    count: 1,
    downMs: 1_000,
    findCrash: (run) => run % 3 === 2 ? undefined : crashSoon(),
  },
  {
    name: "one of its headers differs with each try",
    path: "/safe/1",
    count: 1,
    downMs: 1_000,
    findCrash: crashSoon,
    createHeaders: (attempt) => ({ "X-Trace": `trace-${attempt}` }),
  },
  {
    name: "six such requests run at a time",
    path: "/safe/1",
    count: 6,
    downMs: 1_000,
    findCrash: () => ({ events: 0, delayMs: 60 }),
  },
  {
    name: "twenty such requests run at a time",
    path: "/safe/1",
    count: 20,
    downMs: 500,
    findCrash: () => ({ events: 0, delayMs: 60 }),
  },
  {
    name: "four copies of it are sent at the same moment",
    path: "/safe/1",
    count: 1,
    copies: 4,
    downMs: 1_000,
    findCrash: () => ({ events: 0, delayMs: 60 }),
  },
  {
    name: "a plain upstream is back at once",
    path: "/safe/1",
    count: 1,
    downMs: 0,
    findCrash: () => ({ events: 0, delayMs: 100 }),
  },
  {
    name: "its caller leaves before the crash",
    path: "/safe/1",
    count: 1,
    downMs: 1_000,
    findCrash: () => ({ events: 0, delayMs: 300 }),
    disconnectAfterMs: 150,
  },
];

const harness = new GatewayHarness();
const gateways: GatewayProcess[] = [];

test.before(async () => {
  await harness.start({ gateways: 0, engines: 12, services: 12 });
  for (const replica of listReplicas()) {
    replica.onRestart = () => harness.register(replica);
  }
  for (let index = 0; index < GATEWAYS; index += 1) {
    gateways.push(await GatewayProcess.start(harness, index));
  }
  await harness.waitUntilReady(GATEWAYS);
});
test.after(async () => {
  for (const gateway of gateways) gateway.stop();
  await harness.stop();
});

function listReplicas(): FakePlatformReplica[] {
  return [...harness.engines, ...harness.services];
}

/** A request that crashes upstreams, with what they saw of it. */
class DeadlyRequest {
  readonly body: string;
  readonly crashTimes: number[] = [];
  readonly runTimes: number[] = [];
  readonly #row: Row;
  #attempts = 0;

  constructor(row: Row, body: string) {
    this.#row = row;
    this.body = body;
  }

  findCrash(): CrashingRun | undefined {
    this.runTimes.push(performance.now());
    return this.#row.findCrash(this.runTimes.length - 1);
  }

  /** Sends the row's copies of the request; resolves when their callers are done. */
  async send(): Promise<void> {
    const { copies = 1 } = this.#row;
    await Promise.all(Array.from({ length: copies }, () => this.#sendCopy()));
  }

  async #sendCopy(): Promise<void> {
    const attempt = this.#attempts;
    this.#attempts += 1;
    const { path, createHeaders, disconnectAfterMs } = this.#row;
    await callQuietly(path, {
      gateway: attempt % GATEWAYS,
      body: this.body,
      headers: createHeaders?.(attempt) ?? {},
      ...(disconnectAfterMs === undefined ? {} : { disconnectAfterMs }),
    });
  }

  countLateRuns(): number {
    const countedAt = this.crashTimes[COUNTED_CRASHES - 1];
    if (countedAt === undefined) return 0;
    return this.runTimes.filter((at) => at > countedAt + CONTACT_MS).length;
  }
}

/** Returns the status of a call, or 0 if the connection broke. */
async function callQuietly(
  path: string,
  options: CallOptions,
): Promise<number> {
  try {
    const { status, isComplete } = await harness.call(path, options);
    return isComplete ? status : 0;
  } catch {
    return 0;
  }
}

for (const row of ROWS) {
  test(`BUDGET: a request that crashes upstreams is held back after three crashes: ${row.name}`, async () => {
    const requests = Array.from(
      { length: row.count },
      (_, index) => new DeadlyRequest(row, `deadly ${row.name} ${index}`),
    );
    const find = ({ body }: ReceivedRequest) =>
      requests.find((request) => request.body === body);
    for (const replica of listReplicas()) {
      replica.downMs = row.downMs;
      replica.findCrash = (request) => find(request)?.findCrash();
      replica.onCrash = (request) =>
        find(request)?.crashTimes.push(performance.now());
    }
    const crashingEndsAt = performance.now() + CRASHING_MS;
    const crashAll = async (request: DeadlyRequest) => {
      while (
        request.crashTimes.length < COUNTED_CRASHES &&
        performance.now() < crashingEndsAt
      ) {
        const runs = request.runTimes.length;
        await request.send();
        await waitMs(PAUSE_MS);
        // Held back already.
        if (request.runTimes.length === runs && runs >= COUNTED_CRASHES) break;
      }
    };
    await Promise.all(requests.map(crashAll));
    await waitMs(CONTACT_MS);
    for (let attempt = 0; attempt < LATE_TRIES; attempt += 1) {
      await Promise.all(requests.map((request) => request.send()));
      await waitMs(PAUSE_MS);
    }
    const late = requests.map((request) => request.countLateRuns());
    const crashes = requests.map(({ crashTimes }) => crashTimes.length);
    await waitMs(RECOVERY_MS);
    const sound: number[] = [];
    for (let index = 0; index < 2 * GATEWAYS; index += 1) {
      const gateway = index % GATEWAYS;
      const body = `sound ${row.name} ${index}`;
      sound.push(await callQuietly(row.path, { gateway, body }));
    }
    console.log(`${row.name}: crashes ${crashes}, late ${late}, ${sound}`);
    assert.ok(Math.max(...crashes) >= 2, `crashes ${crashes}`);
    assert.ok(Math.max(...late) <= ALLOWED_AFTER, `late runs ${late}`);
    assert.equal(sound, sound.map(() => 200));
  });
}

test.run();
