/**
 * Admission to one engine: adapter slots, prefill backlog, priorities and
 * waiting times.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import {
  AdmissionController,
  type EngineOrder,
  type PermitRequest,
} from "../../../src/core/admission/admission_controller.ts";
import { trimPermitTimes } from "../../../src/core/admission/permit_age.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const SLOTS = 2;

function createController(batchSize = 8): AdmissionController {
  return new AdmissionController(
    new AdapterSlots(SLOTS),
    new BatchCapacity({ batchSize, kvCapacityTokens: 100_000 }),
  );
}

let lastPermit = 0;

function createRequest(part: Partial<PermitRequest> = {}): PermitRequest {
  const adapter = part.adapter ?? "a1";
  lastPermit += 1;
  return {
    permitId: `p${lastPermit}`,
    holder: "entry",
    model: "m",
    adapter,
    adapterPath: adapter === "" ? "m" : `m/${adapter}`,
    version: undefined,
    priorityRank: 1,
    promptTokens: 380,
    outputTokens: 100,
    promptParts: [],
    patienceMs: 1_000,
    firstTokenBudgetMs: 1_000,
    lifetimeMs: 5_000,
    isLastChoice: false,
    ...part,
  };
}

/** Carries out the orders at once, like an engine without other work. */
function executeOrders(
  admission: AdmissionController,
  now: number,
): EngineOrder[] {
  const orders: EngineOrder[] = [];
  for (
    let next = admission.findNextOrder(true, now);
    next;
    next = admission.findNextOrder(true, now)
  ) {
    orders.push(next);
    if (next.kind === "evict") admission.slots.recordEvicted(next.adapterPath);
    else admission.slots.recordLoadOrdered(next.adapterPath, next.version, now);
  }
  return orders;
}

function listGranted(admission: AdmissionController): string[] {
  return admission.takeAnswers()
    .filter((answer) => answer.kind === "granted")
    .map((answer) => answer.permitId);
}

test("one load serves all requests that wait for the adapter", () => {
  const admission = createController();
  const requests = [createRequest(), createRequest(), createRequest()];
  for (const request of requests) admission.requestPermit(request, 0);
  assert.is(executeOrders(admission, 0).length, 1);
  assert.equal(listGranted(admission), []);
  admission.tick(300);
  assert.equal(
    listGranted(admission),
    requests.map((request) => request.permitId),
  );
});

test("an adapter in use is never evicted, an idle one is", () => {
  const admission = createController();
  const used = createRequest({ adapter: "a1" });
  admission.requestPermit(used, 0);
  admission.requestPermit(createRequest({ adapter: "a2" }), 0);
  executeOrders(admission, 0);
  admission.tick(300);
  const [, second] = listGranted(admission);
  admission.requestPermit(
    createRequest({ adapter: "a3", isLastChoice: true }),
    310,
  );
  assert.is(admission.findNextOrder(true, 310), undefined);
  admission.recordFirstToken(second ?? "", 315);
  admission.releasePermit(second ?? "", 320);
  const orders = executeOrders(admission, 320);
  assert.equal(
    orders.map((order) => [order.kind, order.adapterPath]),
    [["evict", "m/a2"], ["load", "m/a3"]],
  );
});

test("the least used adapter is evicted", () => {
  const admission = createController();
  for (let round = 0; round < 5; round += 1) {
    const adapter = round === 4 ? "a2" : "a1";
    const request = createRequest({ adapter });
    admission.requestPermit(request, round * 400);
    executeOrders(admission, round * 400);
    admission.tick(round * 400 + 300);
    admission.recordFirstToken(request.permitId, round * 400 + 340);
    admission.releasePermit(request.permitId, round * 400 + 350);
  }
  admission.requestPermit(createRequest({ adapter: "a3" }), 2_100);
  assert.is(executeOrders(admission, 2_100)[0]?.adapterPath, "m/a2");
});

test("nothing is evicted until the time for other daemons to report their runs is over", () => {
  const admission = createController();
  const reported = new Map(
    ["m/a1", "m/a2"].map((path) => [path, { version: 1, isLoading: false }]),
  );
  admission.slots.reconcile(reported, 0);
  admission.beginAdoption(0);
  admission.adoptPermit({
    permitId: "theirs",
    adapterPath: "m/a1",
    promptTokens: 1,
    outputTokens: 1,
    promptParts: [],
    lifetimeMs: 5_000,
  }, 100);
  admission.requestPermit(
    createRequest({ adapter: "a3", isLastChoice: true }),
    100,
  );
  assert.is(admission.findNextOrder(true, 100), undefined);
  const order = admission.findNextOrder(true, 1_000);
  assert.is(order?.adapterPath, "m/a2");
});

test("a burst of long prompts is sent to other engines before the first token would be late", () => {
  const admission = createController();
  const long = { adapter: "", promptTokens: 9_190 };
  const granted: boolean[] = [];
  for (let index = 0; index < 6; index += 1) {
    const request = createRequest(long);
    admission.requestPermit(request, index);
    granted.push(listGranted(admission).includes(request.permitId));
  }
  assert.equal(granted, [true, true, false, false, false, false]);
});

test("requests without another engine wait, the most urgent first", () => {
  const admission = createController();
  const long = { adapter: "", promptTokens: 15_000, isLastChoice: true };
  const running = [0, 1].map(() => createRequest(long));
  for (const request of running) admission.requestPermit(request, 0);
  const late = createRequest({ ...long, priorityRank: 5 });
  const urgent = createRequest({ ...long, priorityRank: 0, promptTokens: 400 });
  admission.requestPermit(late, 0);
  admission.requestPermit(urgent, 1);
  listGranted(admission);
  admission.recordFirstToken(running[0]?.permitId ?? "", 400);
  assert.is(listGranted(admission)[0], urgent.permitId);
});

test("a request whose expected wait is too long is denied at once with a retry time", () => {
  const admission = createController();
  const long = { adapter: "", promptTokens: 30_000, isLastChoice: true };
  admission.requestPermit(createRequest(long), 0);
  admission.takeAnswers();
  admission.requestPermit(createRequest({ ...long, patienceMs: 300 }), 0);
  const [answer] = admission.takeAnswers();
  assert.is(answer?.kind, "denied");
  assert.ok(answer?.kind === "denied" && answer.retryAfterMs > 300);
});

test("a request is denied as overdue when its longest wait has passed", () => {
  const admission = createController();
  admission.requestPermit(createRequest({ patienceMs: 400 }), 0);
  admission.tick(399);
  assert.equal(admission.takeAnswers(), []);
  admission.tick(400);
  const [answer] = admission.takeAnswers();
  assert.ok(answer?.kind === "denied" && answer.reason === "overdue");
});

test("a permit whose release is lost expires with its lifetime", () => {
  const admission = createController(1);
  admission.requestPermit(createRequest({ adapter: "", lifetimeMs: 500 }), 0);
  const next = createRequest({ adapter: "", isLastChoice: true });
  admission.requestPermit(next, 10);
  listGranted(admission);
  admission.tick(500);
  assert.equal(listGranted(admission), [next.permitId]);
});

test("a late load is waited for; one that should have ended long ago does not count as late", () => {
  const admission = createController();
  const request = createRequest();
  admission.requestPermit(request, 0);
  executeOrders(admission, 0);
  admission.tick(300);
  assert.ok(admission.recordNotReady(request.permitId, 60, 310));
  const again = createRequest();
  admission.requestPermit(again, 320);
  admission.takeAnswers();
  admission.tick(340);
  assert.equal(listGranted(admission), []);
  admission.tick(380);
  assert.equal(listGranted(admission), [again.permitId]);
  assert.not(admission.recordNotReady(again.permitId, 60, 5_000));
});

test("a required newer version replaces the loaded one before a permit is granted", () => {
  const admission = createController();
  admission.slots.reconcile(
    new Map([["m/a1", { version: 1, isLoading: false }]]),
    0,
  );
  const request = createRequest({ version: 2 });
  admission.requestPermit(request, 0);
  assert.equal(listGranted(admission), []);
  const [order] = executeOrders(admission, 0);
  assert.ok(order?.kind === "load" && order.version === 2);
  admission.tick(300);
  assert.equal(listGranted(admission), [request.permitId]);
});

test("at most four loads are in progress on an engine", () => {
  const admission = new AdmissionController(
    new AdapterSlots(8),
    new BatchCapacity({ batchSize: 8, kvCapacityTokens: 100_000 }),
  );
  for (let index = 0; index < 7; index += 1) {
    const adapter = `a${index}`;
    const part = { adapter, isLastChoice: true, patienceMs: 5_000 };
    admission.requestPermit(createRequest(part), 0);
  }
  assert.is(executeOrders(admission, 0).length, 4);
});

test("an adapter with an unconfirmed load is not evicted, since it may not be loaded yet", () => {
  const admission = createController();
  admission.requestPermit(createRequest({ adapter: "a1", patienceMs: 100 }), 0);
  admission.requestPermit(createRequest({ adapter: "a2", patienceMs: 100 }), 0);
  assert.is(executeOrders(admission, 0).length, 2);
  admission.tick(150);
  admission.requestPermit(
    createRequest({ adapter: "a3", patienceMs: 5_000, isLastChoice: true }),
    300,
  );
  assert.is(admission.slots.getSlot("m/a1")?.state, "loading");
  admission.tick(400);
  assert.is(
    admission.slots.getSlot("m/a1")?.state,
    "resident",
    "as estimated",
  );
  assert.is(admission.findNextOrder(true, 400), undefined);
  assert.is(
    admission.findNextOrder(true, 2_000)?.kind,
    "evict",
    "long after the estimate",
  );
});

test("a first token or the engine's report confirms a load", () => {
  const admission = createController();
  const request = createRequest({ adapter: "a1" });
  admission.requestPermit(request, 0);
  admission.requestPermit(createRequest({ adapter: "a2", patienceMs: 100 }), 0);
  executeOrders(admission, 0);
  admission.tick(300);
  admission.requestPermit(
    createRequest({ adapter: "a3", patienceMs: 5_000, isLastChoice: true }),
    300,
  );
  admission.recordFirstToken(request.permitId, 400);
  admission.releasePermit(request.permitId, 500);
  assert.equal(admission.listEvictable(500).map((slot) => slot.adapterPath), [
    "m/a1",
  ]);
  const reported = { version: 1, isLoading: false };
  admission.slots.reconcile(
    new Map([["m/a1", reported], ["m/a2", reported]]),
    600,
  );
  assert.is(admission.listEvictable(600).length, 2);
});

test("a draining adapter keeps its slot until the engine reports it gone", () => {
  const admission = createController();
  const reported = { version: 1, isLoading: false };
  const both = new Map([["m/a1", reported], ["m/a2", reported]]);
  admission.slots.reconcile(both, 0);
  const request = createRequest({ adapter: "a3", patienceMs: 5_000 });
  admission.requestPermit(request, 0);
  assert.is(admission.findNextOrder(true, 0)?.kind, "evict");
  admission.slots.recordDraining("m/a1");
  admission.slots.recordDraining("m/a2");
  assert.is(admission.findNextOrder(true, 10), undefined);
  admission.slots.reconcile(both, 300);
  assert.is(admission.findNextOrder(true, 300), undefined);
  assert.ok(admission.slots.hasDraining());
  admission.slots.reconcile(new Map([["m/a2", reported]]), 600);
  assert.equal(admission.findNextOrder(true, 600)?.adapterPath, "m/a3");
});

test("evictions begin as soon as all daemons have reported their runs", () => {
  const admission = createController();
  const reported = { version: 1, isLoading: false };
  admission.slots.reconcile(
    new Map([["m/a1", reported], ["m/a2", reported]]),
    0,
  );
  admission.beginAdoption(0);
  const request = createRequest({ adapter: "a3", patienceMs: 5_000 });
  admission.requestPermit(request, 0);
  assert.is(admission.findNextOrder(true, 50), undefined);
  admission.endAdoption(60);
  assert.is(admission.findNextOrder(true, 60)?.kind, "evict");
});

test("a request that can still meet its deadline is loaded for before one that has waited longer", () => {
  const admission = createController();
  const late = createRequest({
    adapter: "a1",
    firstTokenBudgetMs: 100,
    isLastChoice: true,
  });
  const inTime = createRequest({ adapter: "a2", firstTokenBudgetMs: 900 });
  admission.requestPermit(late, 0);
  admission.requestPermit(inTime, 5);
  assert.is(admission.findNextOrder(true, 10)?.adapterPath, "m/a2");
  assert.equal(
    executeOrders(admission, 10).map((order) => order.adapterPath),
    ["m/a2", "m/a1"],
  );
});

test("requests are sent to other engines because of a long wait for slots, not for the weight store", () => {
  const admission = createController();
  admission.slots.setFetchShare({
    fleetFetches: 30,
    fetchLimit: 10,
    isAtHostShare: true,
    isAtMinConcurrency: false,
    fetchesPerEngine: 1,
  });
  const waiting = createRequest({ adapter: "a1", firstTokenBudgetMs: 500 });
  admission.requestPermit(waiting, 0);
  assert.equal(admission.takeAnswers(), []);
  for (const adapter of ["a1", "a2"]) {
    admission.requestPermit(createRequest({ adapter }), 0);
  }
  executeOrders(admission, 0);
  admission.tick(900);
  listGranted(admission);
  const others = ["a3", "a4", "a5"].map((adapter) =>
    createRequest({ adapter, firstTokenBudgetMs: 500 })
  );
  for (const request of others) admission.requestPermit(request, 900);
  const denied = admission.takeAnswers().filter((each) =>
    each.kind === "denied"
  );
  assert.ok(denied.length > 0);
});

test("an adapter that is still reported after its eviction is draining and is not evicted again", () => {
  const admission = createController();
  const reported = { version: 1, isLoading: false };
  admission.slots.reconcile(new Map([["m/a1", reported]]), 0);
  assert.is(admission.listEvictable(0).length, 1);
  admission.slots.recordEvicted("m/a1");
  admission.slots.reconcile(new Map([["m/a1", reported]]), 500);
  assert.is(admission.listEvictable(500).length, 0);
  assert.is(admission.listEvictable(2_000).length, 1);
});

/** Interval of the owner's ticks. */
const TICK_MS = 150;

test("a request waits its whole patience for a load that the owner can't order", () => {
  const admission = createController();
  executeOrders(admission, 0);
  admission.tick(0);
  // The owner gives no order from here on.
  const waiting = createRequest({ firstTokenBudgetMs: 800 });
  admission.requestPermit(waiting, 10);
  const last = createRequest({
    isLastChoice: true,
    patienceMs: 5_000,
    promptTokens: 10,
  });
  admission.requestPermit(last, 10);
  let deniedAt = 0;
  for (let now = TICK_MS; now < 800 && deniedAt === 0; now += TICK_MS) {
    admission.tick(now);
    const answers = admission.takeAnswers();
    if (answers.length > 0) deniedAt = now;
    for (const answer of answers) assert.is(answer.permitId, waiting.permitId);
  }
  assert.ok(deniedAt > 0 && deniedAt <= 400, `denied after ${deniedAt} ms`);
  for (let now = deniedAt + TICK_MS; now < 950; now += TICK_MS) {
    admission.tick(now);
  }
  assert.equal(admission.takeAnswers(), []);
  const late = createRequest({ firstTokenBudgetMs: 800 });
  admission.requestPermit(late, 950);
  assert.is(admission.takeAnswers()[0]?.kind, "denied");
  // Requests without another engine are served once orders are possible, first
  // those that are not late.
  const lateLast = createRequest({ isLastChoice: true, promptTokens: 10 });
  admission.requestPermit(lateLast, 950);
  executeOrders(admission, 960);
  admission.tick(1_460);
  assert.equal(listGranted(admission), [lateLast.permitId, last.permitId]);
});

test("requests for resident adapters are sent away while the owner can't give orders", () => {
  const admission = createController();
  admission.slots.recordLoadOrdered("m/a1", undefined, 0);
  for (let now = 1_000; now < 2_000; now += TICK_MS) admission.tick(now);
  const request = createRequest();
  admission.requestPermit(request, 2_000);
  assert.equal(listGranted(admission), [request.permitId]);
});

test("ticks that come late are taken for an owner that can't give orders", () => {
  const admission = createController();
  for (const now of [0, 700, 1_400]) {
    admission.tick(now);
    executeOrders(admission, now);
  }
  const request = createRequest({ firstTokenBudgetMs: 800 });
  admission.requestPermit(request, 2_100);
  admission.tick(2_100);
  assert.equal(admission.takeAnswers(), []);
});

test("requests that wait behind loads are sent away because an order is in progress", () => {
  const admission = createController();
  executeOrders(admission, 0);
  admission.tick(0);
  for (const adapter of ["a1", "a2"]) {
    admission.requestPermit(
      createRequest({ adapter, patienceMs: 3_000, firstTokenBudgetMs: 2_000 }),
      0,
    );
  }
  assert.equal(admission.takeAnswers(), []);
  // Each order is still in progress at the next tick.
  for (let now = TICK_MS; now < 1_900; now += TICK_MS) {
    admission.tick(now);
    admission.tick(now + 4);
    admission.findNextOrder(false, now + 10);
    assert.equal(admission.takeAnswers(), []);
  }
});

test("a permit is granted to a request that lay unread until its sender had given up", () => {
  const admission = createController();
  admission.slots.recordLoadOrdered("m/a1", undefined, 0);
  const request = createRequest({ patienceMs: 500, lifetimeMs: 6_000 });
  admission.requestPermit(trimPermitTimes(request, 2_000), 1_000);
  assert.equal(
    admission.takeAnswers().map((answer) =>
      answer.kind === "denied" ? answer.reason : answer.kind
    ),
    ["overdue"],
  );
});

test("a request that lay unread for a part of its patience waits for the rest", () => {
  const request = createRequest({ patienceMs: 500, lifetimeMs: 6_000 });
  const { patienceMs, firstTokenBudgetMs, lifetimeMs } = trimPermitTimes(
    request,
    400,
  );
  assert.equal([patienceMs, firstTokenBudgetMs], [300, 800]);
  // The run can last as long as its sender said.
  assert.is(lifetimeMs, 6_000);
});

test("a permit whose request is thought to have lain unread expires under its run", () => {
  const admission = createController();
  const resident = new Map([["m/a1", { version: 1, isLoading: false }]]);
  admission.slots.reconcile(resident, 0);
  const request = createRequest({ patienceMs: 3_000, lifetimeMs: 6_000 });
  admission.requestPermit(trimPermitTimes(request, 4_000), 10_000);
  assert.equal(listGranted(admission), [request.permitId]);
  admission.tick(15_900);
  assert.is(admission.listEvictable(15_900).length, 0);
  admission.tick(16_001);
  assert.is(admission.listEvictable(16_001).length, 1);
});

test.run();
