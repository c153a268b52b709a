/**
 * Sixteen customers with equally urgent requests share one engine. One of them
 * sends ten times the load of each other, at 1.5 and 3 times what the engine
 * serves of the mix.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  AdmissionController,
  type PermitRequest,
} from "../../../src/core/admission/admission_controller.ts";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import {
  CustomerTurns,
  rankByTurn,
} from "../../../src/core/admission/customer_turns.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";
import {
  createPermitRequest,
  simulateEngine,
  sumResults,
  type Traffic,
  type TrafficResult,
} from "./one_engine_simulation.ts";

const ENGINE = { batchSize: 64, kvCapacityTokens: 240_174 };
const SEEDS = [1, 2, 3, 4, 5, 6];
const FEW_SEEDS = [1, 2, 3];
const DURATION_MS = 40_000;
const OTHERS = 15;
/** Load of the large customer in requests' tokens, against that of another. */
const LOAD_FACTOR = 10;

type Shape = Pick<
  Traffic,
  | "promptTokens"
  | "outputTokens"
  | "sharedTokens"
  | "latencyObjectiveMs"
  | "deadlineMs"
>;

const OBJECTIVE = { latencyObjectiveMs: 1_015, deadlineMs: 8_000 };
const SHORT: Shape = {
  ...OBJECTIVE,
  promptTokens: 900,
  sharedTokens: 0,
  outputTokens: 100,
};
/** Bound by memory: it is held for 6 s. */
const SHORT_RUN: Shape = {
  ...OBJECTIVE,
  promptTokens: 3_000,
  sharedTokens: 2_500,
  outputTokens: 200,
};
const LONG_RUN: Shape = {
  ...OBJECTIVE,
  promptTokens: 15_000,
  sharedTokens: 12_000,
  outputTokens: 200,
};

interface Load {
  name: string;
  large: Shape;
  other: Shape;
  /** Tokens per second that the engine serves of the mix. */
  capacity: number;
}

const LOADS: readonly Load[] = [
  {
    name: "equal prompts, bound by prefill",
    large: SHORT,
    other: SHORT,
    capacity: 21_000,
  },
  {
    name: "equal prompts, bound by memory",
    large: SHORT_RUN,
    other: SHORT_RUN,
    capacity: 36_000,
  },
  {
    name: "the large customer's prompts are short",
    large: SHORT_RUN,
    other: LONG_RUN,
    capacity: 36_000,
  },
  {
    name: "the large customer's prompts are long",
    large: LONG_RUN,
    other: SHORT_RUN,
    capacity: 36_000,
  },
];

interface Outcome {
  /** Served fraction of each customer's requests, the large one's first. */
  fractions: number[];
  /** Served fraction of all requests, and of their tokens. */
  overall: { requests: number; tokens: number };
  tokens: number;
  late: number;
  results: ReadonlyMap<string, TrafficResult>;
}

/** Replays the load at a multiple of the engine's capacity. */
function replay(
  load: Load,
  scale: number,
  getCustomer: (index: number) => number | undefined = (index) => index,
  seeds: readonly number[] = SEEDS,
): Outcome {
  const unitPerS = scale * load.capacity / (LOAD_FACTOR + OTHERS);
  const traffics = Array.from({ length: OTHERS + 1 }, (_, index): Traffic => {
    const shape = index === 0 ? load.large : load.other;
    const tokensPerS = index === 0 ? LOAD_FACTOR * unitPerS : unitPerS;
    const rate = tokensPerS / (shape.promptTokens + shape.outputTokens);
    const customer = getCustomer(index);
    return {
      ...shape,
      name: `customer${index}`,
      priorityRank: 1,
      ...(customer === undefined ? {} : { customer }),
      getRate: () => rate,
    };
  });
  const results = sumResults(
    seeds.map((seed) =>
      simulateEngine({ ...ENGINE, traffics, seed, durationMs: DURATION_MS })
    ),
  );
  return describeOutcome(traffics, results);
}

function describeOutcome(
  traffics: readonly Traffic[],
  results: ReadonlyMap<string, TrafficResult>,
): Outcome {
  const sums = { granted: 0, ended: 0, tokens: 0, endedTokens: 0, late: 0 };
  const fractions = traffics.map(({ name, promptTokens, outputTokens }) => {
    const result = results.get(name);
    if (!result) throw new Error(`no traffic ${name}`);
    const { granted, denied, late } = result;
    const tokens = promptTokens + outputTokens;
    sums.granted += granted;
    sums.ended += granted + denied;
    sums.tokens += granted * tokens;
    sums.endedTokens += (granted + denied) * tokens;
    sums.late += late;
    return granted / (granted + denied);
  });
  return {
    fractions,
    overall: {
      requests: sums.granted / sums.ended,
      tokens: sums.tokens / sums.endedTokens,
    },
    tokens: sums.tokens,
    late: sums.late,
    results,
  };
}

const REQUIRED_PART = 0.25;

for (const load of LOADS) {
  for (const scale of [1.5, 3]) {
    test(`no customer is starved, ${load.name}, ${scale} times the capacity`, () => {
      // In the order of arrival, a fifth of the others' long prompts was served
      // where the large customer's short ones had more than half.
      const before = replay(load, scale, () => undefined);
      const after = replay(load, scale);
      const worst = Math.min(...after.fractions);
      const overall = Math.max(after.overall.requests, after.overall.tokens);
      assert.ok(worst >= REQUIRED_PART * overall, `${worst} of ${overall}`);
      // What the large customer sends is not the others' loss.
      const others = after.fractions.slice(1);
      const mean = others.reduce((sum, each) => sum + each) / OTHERS;
      assert.ok(mean >= after.overall.tokens * 0.8, `${mean}`);
      assert.ok(
        after.tokens >= 0.99 * before.tokens,
        `${after.tokens} of ${before.tokens}`,
      );
    });
  }
}

test("a long prompt's turn doesn't leave an engine of long runs idle", () => {
  // With room held for 300 ms, it served 0.94 of the tokens of before.
  const traffics = [0, 1, 2, 3, 4].map((customer): Traffic => ({
    ...(customer === 0 ? SHORT : LONG_RUN),
    ...(customer === 0
      ? { promptTokens: 900, outputTokens: 30 }
      : { promptTokens: 9_000, sharedTokens: 7_000, outputTokens: 400 }),
    name: `customer${customer}`,
    priorityRank: 1,
    customer,
    getRate: () => customer === 0 ? 25 : customer === 1 ? 2.8 : 0.4,
  }));
  const runAll = (all: readonly Traffic[]): Outcome =>
    describeOutcome(
      all,
      sumResults(SEEDS.map((seed) =>
        simulateEngine({ ...ENGINE, traffics: all, seed, durationMs: 32_000 })
      )),
    );
  const before = runAll(traffics.map(({ customer: _, ...rest }) => rest));
  const after = runAll(traffics);
  assert.ok(
    after.tokens >= 0.99 * before.tokens,
    `${after.tokens} of ${before.tokens}`,
  );
  assert.ok((after.fractions[0] ?? 0) >= 0.95, `${after.fractions[0]}`);
});

test("without customers, and with one, requests are served as before", () => {
  // Figures of the code without customers' turns: granted, late, denied and the
  // longest gap of the large sender and of another one.
  const pinned = [
    [[1_008, 88, 1_940, 2_110], [97, 12, 195, 3_605]],
    [[546, 82, 1_052, 4_320], [40, 6, 113, 6_170]],
    [[920, 51, 721, 3_860], [1, 0, 21, 4_505]],
    [[39, 6, 294, 14_375], [76, 2, 78, 5_060]],
  ];
  LOADS.forEach((load, index) => {
    const { results } = replay(load, 3, () => undefined, FEW_SEEDS);
    assert.equal(
      [...results.values()].slice(0, 2).map((each) => [
        each.granted,
        each.late,
        each.denied,
        each.longestGapMs,
      ]),
      pinned[index],
    );
    assert.equal(replay(load, 3, () => 7, FEW_SEEDS).results, results);
  });
});

test("requests of older gateways, which name no customer, count as one customer", () => {
  const [load] = LOADS;
  assert.ok(load);
  const { fractions, overall } = replay(
    load,
    3,
    (index) => index <= 8 ? undefined : index,
  );
  const worst = Math.min(...fractions);
  assert.ok(worst >= REQUIRED_PART * overall.tokens, `${worst}`);
});

const REQUEST: Traffic = {
  ...SHORT,
  name: "short",
  priorityRank: 1,
  getRate: () => 0,
};

/** Returns a controller of an engine that runs one request at a time. */
function createController(): {
  request: (part: Partial<PermitRequest>, now: number) => void;
  /** Ends the run and returns the permits that are granted then. */
  serveNext: (now: number) => string[];
  admission: AdmissionController;
} {
  const admission = new AdmissionController(
    new AdapterSlots(1),
    new BatchCapacity({ batchSize: 1, kvCapacityTokens: 240_174 }),
  );
  let runningId = "";
  const listGranted = (): string[] => {
    const ids = admission.takeAnswers().flatMap((each) =>
      each.kind === "granted" ? [each.permitId] : []
    );
    runningId = ids.at(-1) ?? runningId;
    return ids;
  };
  return {
    admission,
    request: (part, now) => {
      admission.requestPermit({
        ...createPermitRequest(REQUEST, part.permitId ?? ""),
        patienceMs: 60_000,
        firstTokenBudgetMs: 60_000,
        lifetimeMs: 60_000,
        ...part,
      }, now);
      listGranted();
    },
    serveNext: (now) => {
      admission.recordFirstToken(runningId, now);
      admission.releasePermit(runningId, now);
      return listGranted();
    },
  };
}

test("equally urgent customers take turns, and early grants are counted", () => {
  const { request, serveNext, admission } = createController();
  for (let index = 0; index < 4; index += 1) {
    request({ permitId: `a${index}`, customer: 1 }, index);
  }
  request({ permitId: "b0", customer: 2 }, 10);
  request({ permitId: "b1", customer: 2 }, 11);
  request({ permitId: "c0", customer: undefined }, 12);
  const order = [1, 2, 3, 4, 5, 6].flatMap((step) => serveNext(20 + step));
  assert.is(order.length, 6);
  // The first of a's four runs already, so that b and c have the next turns.
  assert.equal([...order.slice(0, 2)].sort(), ["b0", "c0"]);
  assert.equal(order.filter((id) => id.startsWith("a")), ["a1", "a2", "a3"]);
  assert.is(order.at(-1), "a3");
  assert.ok(admission.takeEarlyGrants() >= 2);
  assert.is(admission.takeEarlyGrants(), 0);
});

test("priority comes before customers' turns", () => {
  const { request, serveNext } = createController();
  request({ permitId: "a0", customer: 1 }, 0);
  request({ permitId: "b0", customer: 2 }, 1);
  request({ permitId: "a1", customer: 1, priorityRank: 0 }, 2);
  assert.equal(serveNext(10), ["a1"]);
  assert.equal(serveNext(20), ["b0"]);
});

test("a request in time comes before another customer's late one", () => {
  const { request, serveNext } = createController();
  request({ permitId: "a0", customer: 1 }, 0);
  request({ permitId: "b0", customer: 2, firstTokenBudgetMs: 100 }, 1);
  request({ permitId: "a1", customer: 1 }, 2);
  assert.equal(serveNext(1_000), ["a1"]);
  assert.equal(serveNext(2_000), ["b0"]);
});

test("an engine's restart clears the turns", () => {
  const { request, serveNext, admission } = createController();
  for (let index = 0; index < 5; index += 1) {
    request({ permitId: `a${index}`, customer: 1, patienceMs: 50 }, index);
    serveNext(index);
  }
  admission.refuseAll("overdue", 10);
  admission.clearPermits();
  request({ permitId: "running", customer: 3 }, 20);
  request({ permitId: "a", customer: 1 }, 21);
  request({ permitId: "b", customer: 2 }, 22);
  assert.equal(serveNext(30), ["a"]);
});

const TOKENS = { priorityRank: 1, promptTokens: 900, outputTokens: 100 };

test("use of an idle engine doesn't count against a customer, nor idleness for it", () => {
  const turns = new CustomerTurns();
  for (let now = 0; now < 100_000; now += 100) {
    turns.recordArrival({ ...TOKENS, customer: 1 }, now);
    turns.recordFirstWaiting({ ...TOKENS, customer: 1 }, now);
    turns.recordGrant({ ...TOKENS, customer: 1 }, now);
  }
  turns.recordArrival({ ...TOKENS, customer: 2 }, 100_000);
  turns.recordFirstWaiting({ ...TOKENS, customer: 2 }, 100_000);
  const [first = 0, second = 0] = turns.computeStartTags([
    { ...TOKENS, customer: 1 },
    { ...TOKENS, customer: 2 },
  ], 100_000);
  assert.ok(first >= second);
  assert.ok(first - second <= 1_000, `${first - second}`);
});

test("token counts without bound make no customer's tag unusable", () => {
  const turns = new CustomerTurns();
  const sizes = [1e300, Number.NaN, Number.POSITIVE_INFINITY, -5];
  for (const [customer, promptTokens] of sizes.entries()) {
    const request = { ...TOKENS, customer, promptTokens };
    turns.recordArrival(request, 0);
    turns.recordFirstWaiting(request, 0);
    turns.recordGrant(request, 0);
  }
  const requests = [0, 0, 9, 9].map((customer) => ({ ...TOKENS, customer }));
  const [a = 0, b = 0, c = 0, d = 0] = turns.computeStartTags(requests, 0);
  for (const tag of [a, b, c, d]) assert.ok(Number.isFinite(tag));
  assert.ok(b > a && d > c);
});

test("requests of one customer in a class keep their order beside other classes", () => {
  const turns = new CustomerTurns();
  const ranked = [
    { request: { ...TOKENS, customer: 1, latencyObjectiveMs: 900 }, id: "a0" },
    { request: { ...TOKENS, customer: 2, latencyObjectiveMs: 500 }, id: "b0" },
    { request: { ...TOKENS, customer: 1, latencyObjectiveMs: 900 }, id: "a1" },
  ];
  const late = new Set(["a0"]);
  assert.equal(
    rankByTurn(ranked, turns, ({ id }) => !late.has(id), 0)
      .map(({ waiting }) => waiting.id),
    ["a0", "b0", "a1"],
  );
});

test("customers beyond the bound are forgotten, the longest idle first", () => {
  const turns = new CustomerTurns();
  for (let customer = 0; customer < 1_000; customer += 1) {
    turns.recordArrival({ ...TOKENS, customer }, customer);
  }
  assert.is(turns.countCustomers(), 64);
});

test.run();
