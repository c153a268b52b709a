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
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const SLOTS = 2;

function createDesk(batchSize = 8): AdmissionController {
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
function carryOutOrders(desk: AdmissionController, now: number): EngineOrder[] {
  const orders: EngineOrder[] = [];
  for (
    let order = desk.findNextOrder(true, now);
    order;
    order = desk.findNextOrder(true, now)
  ) {
    orders.push(order);
    if (order.kind === "evict") desk.slots.recordEvicted(order.adapterPath);
    else desk.slots.recordLoadOrdered(order.adapterPath, order.version, now);
  }
  return orders;
}

function listGranted(desk: AdmissionController): string[] {
  return desk.takeAnswers()
    .filter((answer) => answer.kind === "granted")
    .map((answer) => answer.permitId);
}

test("one load serves all that wait for the adapter", () => {
  const desk = createDesk();
  const requests = [createRequest(), createRequest(), createRequest()];
  for (const request of requests) desk.requestPermit(request, 0);
  assert.is(carryOutOrders(desk, 0).length, 1);
  assert.equal(listGranted(desk), []);
  desk.tick(300);
  assert.equal(
    listGranted(desk),
    requests.map((request) => request.permitId),
  );
});

test("an adapter in use is never evicted; an idle one yields", () => {
  const desk = createDesk();
  const used = createRequest({ adapter: "a1" });
  desk.requestPermit(used, 0);
  desk.requestPermit(createRequest({ adapter: "a2" }), 0);
  carryOutOrders(desk, 0);
  desk.tick(300);
  const [, second] = listGranted(desk);
  desk.requestPermit(createRequest({ adapter: "a3", isLastChoice: true }), 310);
  assert.is(desk.findNextOrder(true, 310), undefined);
  desk.recordFirstToken(second ?? "", 315);
  desk.releasePermit(second ?? "", 320);
  const orders = carryOutOrders(desk, 320);
  assert.equal(
    orders.map((order) => [order.kind, order.adapterPath]),
    [["evict", "m/a2"], ["load", "m/a3"]],
  );
});

test("the adapter that is asked for least yields", () => {
  const desk = createDesk();
  for (let round = 0; round < 5; round += 1) {
    const adapter = round === 4 ? "a2" : "a1";
    const request = createRequest({ adapter });
    desk.requestPermit(request, round * 400);
    carryOutOrders(desk, round * 400);
    desk.tick(round * 400 + 300);
    desk.recordFirstToken(request.permitId, round * 400 + 340);
    desk.releasePermit(request.permitId, round * 400 + 350);
  }
  desk.requestPermit(createRequest({ adapter: "a3" }), 2_100);
  assert.is(carryOutOrders(desk, 2_100)[0]?.adapterPath, "m/a2");
});

test("nothing is evicted until other daemons have told of their runs", () => {
  const desk = createDesk();
  const held = new Map(
    ["m/a1", "m/a2"].map((path) => [path, { version: 1, isLoading: false }]),
  );
  desk.slots.reconcile(held, 0);
  desk.beginAdoption(0);
  desk.adoptPermit({
    permitId: "theirs",
    adapterPath: "m/a1",
    promptTokens: 1,
    outputTokens: 1,
    promptParts: [],
    lifetimeMs: 5_000,
  }, 100);
  desk.requestPermit(createRequest({ adapter: "a3", isLastChoice: true }), 100);
  assert.is(desk.findNextOrder(true, 100), undefined);
  const order = desk.findNextOrder(true, 1_000);
  assert.is(order?.adapterPath, "m/a2");
});

test("a burst of long prompts is sent elsewhere before the first token is late", () => {
  const desk = createDesk();
  const long = { adapter: "", promptTokens: 9_190 };
  const granted: boolean[] = [];
  for (let index = 0; index < 6; index += 1) {
    const request = createRequest(long);
    desk.requestPermit(request, index);
    granted.push(listGranted(desk).includes(request.permitId));
  }
  assert.equal(granted, [true, true, false, false, false, false]);
});

test("a request whose last choice this is waits, the most urgent first", () => {
  const desk = createDesk();
  const long = { adapter: "", promptTokens: 15_000, isLastChoice: true };
  const running = [0, 1].map(() => createRequest(long));
  for (const request of running) desk.requestPermit(request, 0);
  const late = createRequest({ ...long, priorityRank: 5 });
  const urgent = createRequest({ ...long, priorityRank: 0, promptTokens: 400 });
  desk.requestPermit(late, 0);
  desk.requestPermit(urgent, 1);
  listGranted(desk);
  desk.recordFirstToken(running[0]?.permitId ?? "", 400);
  assert.is(listGranted(desk)[0], urgent.permitId);
});

test("what can't be served in its patience is refused at once, with a time to come back", () => {
  const desk = createDesk();
  const long = { adapter: "", promptTokens: 30_000, isLastChoice: true };
  desk.requestPermit(createRequest(long), 0);
  desk.takeAnswers();
  desk.requestPermit(createRequest({ ...long, patienceMs: 300 }), 0);
  const [answer] = desk.takeAnswers();
  assert.is(answer?.kind, "denied");
  assert.ok(answer?.kind === "denied" && answer.retryAfterMs > 300);
});

test("a request that waited its patience out is told so", () => {
  const desk = createDesk();
  desk.requestPermit(createRequest({ patienceMs: 400 }), 0);
  desk.tick(399);
  assert.equal(desk.takeAnswers(), []);
  desk.tick(400);
  const [answer] = desk.takeAnswers();
  assert.ok(answer?.kind === "denied" && answer.reason === "overdue");
});

test("a permit whose release is lost ends with its lifetime", () => {
  const desk = createDesk(1);
  desk.requestPermit(createRequest({ adapter: "", lifetimeMs: 500 }), 0);
  const next = createRequest({ adapter: "", isLastChoice: true });
  desk.requestPermit(next, 10);
  listGranted(desk);
  desk.tick(500);
  assert.equal(listGranted(desk), [next.permitId]);
});

test("a load that was late is waited for, an adapter that is long there is doubted", () => {
  const desk = createDesk();
  const request = createRequest();
  desk.requestPermit(request, 0);
  carryOutOrders(desk, 0);
  desk.tick(300);
  assert.ok(desk.recordNotReady(request.permitId, 60, 310));
  const again = createRequest();
  desk.requestPermit(again, 320);
  desk.takeAnswers();
  desk.tick(340);
  assert.equal(listGranted(desk), []);
  desk.tick(380);
  assert.equal(listGranted(desk), [again.permitId]);
  assert.not(desk.recordNotReady(again.permitId, 60, 5_000));
});

test("a newer version is loaded in place of the old one before it is used", () => {
  const desk = createDesk();
  desk.slots.reconcile(
    new Map([["m/a1", { version: 1, isLoading: false }]]),
    0,
  );
  const request = createRequest({ version: 2 });
  desk.requestPermit(request, 0);
  assert.equal(listGranted(desk), []);
  const [order] = carryOutOrders(desk, 0);
  assert.ok(order?.kind === "load" && order.version === 2);
  desk.tick(300);
  assert.equal(listGranted(desk), [request.permitId]);
});

test("four loads at most are on their way to an engine", () => {
  const desk = new AdmissionController(
    new AdapterSlots(8),
    new BatchCapacity({ batchSize: 8, kvCapacityTokens: 100_000 }),
  );
  for (let index = 0; index < 7; index += 1) {
    const adapter = `a${index}`;
    const part = { adapter, isLastChoice: true, patienceMs: 5_000 };
    desk.requestPermit(createRequest(part), 0);
  }
  assert.is(carryOutOrders(desk, 0).length, 4);
});

test("an adapter whose load nobody has confirmed is not evicted, since it may not be there yet", () => {
  const desk = createDesk();
  desk.requestPermit(createRequest({ adapter: "a1", patienceMs: 100 }), 0);
  desk.requestPermit(createRequest({ adapter: "a2", patienceMs: 100 }), 0);
  assert.is(carryOutOrders(desk, 0).length, 2);
  desk.tick(150);
  desk.requestPermit(
    createRequest({ adapter: "a3", patienceMs: 5_000, isLastChoice: true }),
    300,
  );
  assert.is(desk.slots.getSlot("m/a1")?.state, "loading");
  desk.tick(400);
  assert.is(desk.slots.getSlot("m/a1")?.state, "resident", "by the estimate");
  assert.is(desk.findNextOrder(true, 400), undefined);
  assert.is(desk.findNextOrder(true, 2_000)?.kind, "evict", "long after");
});

test("a first token, or the engine's report, confirms a load", () => {
  const desk = createDesk();
  const request = createRequest({ adapter: "a1" });
  desk.requestPermit(request, 0);
  desk.requestPermit(createRequest({ adapter: "a2", patienceMs: 100 }), 0);
  carryOutOrders(desk, 0);
  desk.tick(300);
  desk.requestPermit(
    createRequest({ adapter: "a3", patienceMs: 5_000, isLastChoice: true }),
    300,
  );
  desk.recordFirstToken(request.permitId, 400);
  desk.releasePermit(request.permitId, 500);
  assert.equal(desk.listEvictable(500).map((place) => place.adapterPath), [
    "m/a1",
  ]);
  const reported = { version: 1, isLoading: false };
  desk.slots.reconcile(
    new Map([["m/a1", reported], ["m/a2", reported]]),
    600,
  );
  assert.is(desk.listEvictable(600).length, 2);
});

test("an eviction that waits for runs frees no slot until the engine reports the adapter gone", () => {
  const desk = createDesk();
  const reported = { version: 1, isLoading: false };
  const both = new Map([["m/a1", reported], ["m/a2", reported]]);
  desk.slots.reconcile(both, 0);
  const request = createRequest({ adapter: "a3", patienceMs: 5_000 });
  desk.requestPermit(request, 0);
  assert.is(desk.findNextOrder(true, 0)?.kind, "evict");
  desk.slots.recordDraining("m/a1");
  desk.slots.recordDraining("m/a2");
  assert.is(desk.findNextOrder(true, 10), undefined);
  desk.slots.reconcile(both, 300);
  assert.is(desk.findNextOrder(true, 300), undefined);
  assert.ok(desk.slots.hasDraining());
  desk.slots.reconcile(new Map([["m/a2", reported]]), 600);
  assert.equal(desk.findNextOrder(true, 600)?.adapterPath, "m/a3");
});

test("evictions begin as soon as all daemons have told of their runs", () => {
  const desk = createDesk();
  const reported = { version: 1, isLoading: false };
  desk.slots.reconcile(
    new Map([["m/a1", reported], ["m/a2", reported]]),
    0,
  );
  desk.beginAdoption(0);
  const request = createRequest({ adapter: "a3", patienceMs: 5_000 });
  desk.requestPermit(request, 0);
  assert.is(desk.findNextOrder(true, 50), undefined);
  desk.endAdoption(60);
  assert.is(desk.findNextOrder(true, 60)?.kind, "evict");
});

test("whose first token can still be in time is loaded for first, whoever waits longer", () => {
  const desk = createDesk();
  const late = createRequest({
    adapter: "a1",
    firstTokenBudgetMs: 100,
    isLastChoice: true,
  });
  const inTime = createRequest({ adapter: "a2", firstTokenBudgetMs: 900 });
  desk.requestPermit(late, 0);
  desk.requestPermit(inTime, 5);
  assert.is(desk.findNextOrder(true, 10)?.adapterPath, "m/a2");
  assert.equal(
    carryOutOrders(desk, 10).map((order) => order.adapterPath),
    ["m/a2", "m/a1"],
  );
});

test("a long wait for the weight store sends nobody elsewhere, one for slots does", () => {
  const desk = createDesk();
  desk.slots.setFetchShare({
    fleetFetches: 30,
    fetchLimit: 10,
    isAtHostShare: true,
    isAtMinConcurrency: false,
    fetchesPerEngine: 1,
  });
  const waiting = createRequest({ adapter: "a1", firstTokenBudgetMs: 500 });
  desk.requestPermit(waiting, 0);
  assert.equal(desk.takeAnswers(), []);
  for (const adapter of ["a1", "a2"]) {
    desk.requestPermit(createRequest({ adapter }), 0);
  }
  carryOutOrders(desk, 0);
  desk.tick(900);
  listGranted(desk);
  const others = ["a3", "a4", "a5"].map((adapter) =>
    createRequest({ adapter, firstTokenBudgetMs: 500 })
  );
  for (const request of others) desk.requestPermit(request, 900);
  const denied = desk.takeAnswers().filter((each) => each.kind === "denied");
  assert.ok(denied.length > 0);
});

test("an adapter that is still there after its eviction drains, and is not evicted again", () => {
  const desk = createDesk();
  const reported = { version: 1, isLoading: false };
  desk.slots.reconcile(new Map([["m/a1", reported]]), 0);
  assert.is(desk.listEvictable(0).length, 1);
  desk.slots.recordEvicted("m/a1");
  desk.slots.reconcile(new Map([["m/a1", reported]]), 500);
  assert.is(desk.listEvictable(500).length, 0);
  assert.is(desk.listEvictable(2_000).length, 1);
});

test.run();
