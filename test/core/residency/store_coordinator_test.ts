import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Effect } from "../../../src/core/effects.ts";
import type { PeerMessage } from "../../../src/core/messages.ts";
import { StoreCoordinator } from "../../../src/core/residency/store_coordinator.ts";

const LIFETIME_MS = 2_000;
const SHARE = { loadsPerSecond: 1, loadsInFlight: 2 };

type Sent = Extract<Effect, { kind: "send" }>;

function createCoordinator(): {
  coordinator: StoreCoordinator;
  takePermits(): { to: string; permitId: string; lenderId: string }[];
  takeSent(): Sent[];
} {
  const effects: Effect[] = [];
  let lastId = 0;
  const coordinator = new StoreCoordinator(
    {
      selfId: "coordinator-a",
      failureDomain: "a",
      permitLifetimeMs: LIFETIME_MS,
      startWaitMs: LIFETIME_MS,
      emit: (effect) => effects.push(effect),
      createId: (prefix) => `${prefix}-${lastId += 1}`,
    },
    SHARE,
    0,
  );
  const takeSent = () =>
    effects.splice(0).flatMap((effect) =>
      effect.kind === "send" ? [effect] : []
    );
  return {
    coordinator,
    takeSent,
    takePermits: () =>
      takeSent().flatMap(({ to, message }) =>
        message.kind === "storePermit" ? [{ ...message, to }] : []
      ),
  };
}

function createDemand(
  loads: number,
  urgency: number,
  failureDomain = "a",
): Extract<PeerMessage, { kind: "storeDemand" }> {
  return { kind: "storeDemand", loads, urgency, failureDomain };
}

test("a new coordinator issues no permit while those of the previous one may be in use", () => {
  const { coordinator, takePermits } = createCoordinator();
  coordinator.recordDemand("d1", createDemand(1, 1), 0);
  coordinator.tick([], LIFETIME_MS / 2);
  assert.equal(takePermits(), []);
  coordinator.recordDemand("d1", createDemand(1, 1), LIFETIME_MS - 1);
  coordinator.tick([], LIFETIME_MS);
  assert.is(takePermits().length, 1);
});

test("permits go to the most urgent daemon, within the limits on rate and loads in flight", () => {
  const { coordinator, takePermits } = createCoordinator();
  const now = 10_000;
  coordinator.recordDemand("d1", createDemand(5, 1), now);
  assert.equal(takePermits().map(({ to }) => to), ["d1"]);
  coordinator.recordDemand("d2", createDemand(5, 9), now);
  coordinator.tick([], now + 999);
  assert.equal(takePermits(), [], "the rate is one permit a second");
  coordinator.recordDemand("d1", createDemand(5, 1), now + 1_000);
  coordinator.recordDemand("d2", createDemand(5, 9), now + 1_000);
  assert.equal(takePermits().map(({ to }) => to), ["d2"]);
  coordinator.recordDemand("d2", createDemand(5, 9), now + 1_999);
  coordinator.tick([], now + 1_999);
  assert.equal(takePermits(), [], "two permits are in flight");
});

test("a permit that is never returned expires after its lifetime", () => {
  const { coordinator, takePermits } = createCoordinator();
  for (const at of [10_000, 11_000]) {
    coordinator.recordDemand("d1", createDemand(1, 1), at);
  }
  assert.is(takePermits().length, 2);
  coordinator.tick([], 10_000 + LIFETIME_MS);
  assert.is(coordinator.getInFlight(), 1);
});

test("a permit returned unused is issued again at once", () => {
  const { coordinator, takePermits } = createCoordinator();
  coordinator.recordDemand("d1", createDemand(1, 1), 10_000);
  const [permit] = takePermits();
  coordinator.recordDemand("d2", createDemand(1, 1), 10_001);
  assert.equal(takePermits(), []);
  coordinator.recordReturn({
    kind: "storePermitReturn",
    permitId: permit?.permitId ?? "",
    wasUsed: false,
  }, 10_002);
  assert.equal(takePermits().map(({ to }) => to), ["d2"]);
});

test("permits are lent to another domain only while no daemon of this one demands them", () => {
  const { coordinator, takePermits } = createCoordinator();
  coordinator.tick([], 10_000);
  coordinator.recordDemand("coordinator-b", createDemand(3, 100, "b"), 10_000);
  assert.equal(takePermits().map(({ to }) => to), ["coordinator-b"]);
  coordinator.recordDemand("d1", createDemand(1, 1), 10_500);
  coordinator.recordDemand("coordinator-b", createDemand(3, 100, "b"), 10_500);
  coordinator.tick([], 11_000);
  assert.equal(takePermits().map(({ to }) => to), ["d1"]);
});

test("unmet demand is sent to the lenders, and a borrowed permit to the most urgent daemon", () => {
  const { coordinator, takeSent } = createCoordinator();
  coordinator.recordDemand("d1", createDemand(1, 1), 0);
  coordinator.recordDemand("d2", createDemand(1, 5), 0);
  takeSent();
  coordinator.tick(["coordinator-b"], 10);
  const [sent] = takeSent();
  assert.is(sent?.to, "coordinator-b");
  assert.equal(sent?.message, createDemand(2, 5));
  const loan = {
    kind: "storePermit",
    permitId: "p1",
    lenderId: "coordinator-b",
  } as const;
  coordinator.acceptLoan(loan, 20);
  assert.equal(takeSent(), [{ kind: "send", to: "d2", message: loan }]);
  coordinator.acceptLoan(loan, 30);
  takeSent();
  coordinator.acceptLoan(loan, 40);
  assert.equal(takeSent(), [{
    kind: "send",
    to: "coordinator-b",
    message: { kind: "storePermitReturn", permitId: "p1", wasUsed: false },
  }]);
});

test.run();
