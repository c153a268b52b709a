import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Effect } from "../../../src/core/effects.ts";
import type { PeerMessage } from "../../../src/core/messages.ts";
import { StoreCoordinator } from "../../../src/core/residency/store_coordinator.ts";

const LIFETIME_MS = 2_000;
const SHARE = { loadsPerSecond: 1, loadsInFlight: 2 };

type Sent = Extract<Effect, { kind: "send" }>;

function createCoordinator(): {
  keeper: StoreCoordinator;
  takePermits(): { to: string; permitId: string; lenderId: string }[];
  takeSent(): Sent[];
} {
  const effects: Effect[] = [];
  let lastId = 0;
  const keeper = new StoreCoordinator(
    {
      selfId: "keeper-a",
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
    keeper,
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

test("a new keeper gives nothing while permits of an earlier one may be in use", () => {
  const { keeper, takePermits } = createCoordinator();
  keeper.recordDemand("d1", createDemand(1, 1), 0);
  keeper.tick([], LIFETIME_MS / 2);
  assert.equal(takePermits(), []);
  keeper.recordDemand("d1", createDemand(1, 1), LIFETIME_MS - 1);
  keeper.tick([], LIFETIME_MS);
  assert.is(takePermits().length, 1);
});

test("permits go to the most urgent daemon, within rate and room", () => {
  const { keeper, takePermits } = createCoordinator();
  const now = 10_000;
  keeper.recordDemand("d1", createDemand(5, 1), now);
  assert.equal(takePermits().map(({ to }) => to), ["d1"]);
  keeper.recordDemand("d2", createDemand(5, 9), now);
  keeper.tick([], now + 999);
  assert.equal(takePermits(), [], "the rate is one a second");
  keeper.recordDemand("d1", createDemand(5, 1), now + 1_000);
  keeper.recordDemand("d2", createDemand(5, 9), now + 1_000);
  assert.equal(takePermits().map(({ to }) => to), ["d2"]);
  keeper.recordDemand("d2", createDemand(5, 9), now + 1_999);
  keeper.tick([], now + 1_999);
  assert.equal(takePermits(), [], "two are in flight");
});

test("a permit that is never returned is over after its lifetime", () => {
  const { keeper, takePermits } = createCoordinator();
  for (const at of [10_000, 11_000]) {
    keeper.recordDemand("d1", createDemand(1, 1), at);
  }
  assert.is(takePermits().length, 2);
  keeper.tick([], 10_000 + LIFETIME_MS);
  assert.is(keeper.getInFlight(), 1);
});

test("a permit returned unused may be given again at once", () => {
  const { keeper, takePermits } = createCoordinator();
  keeper.recordDemand("d1", createDemand(1, 1), 10_000);
  const [permit] = takePermits();
  keeper.recordDemand("d2", createDemand(1, 1), 10_001);
  assert.equal(takePermits(), []);
  keeper.recordReturn({
    kind: "storePermitReturn",
    permitId: permit?.permitId ?? "",
    wasUsed: false,
  }, 10_002);
  assert.equal(takePermits().map(({ to }) => to), ["d2"]);
});

test("another domain is lent only what this one does not want", () => {
  const { keeper, takePermits } = createCoordinator();
  keeper.tick([], 10_000);
  keeper.recordDemand("keeper-b", createDemand(3, 100, "b"), 10_000);
  assert.equal(takePermits().map(({ to }) => to), ["keeper-b"]);
  keeper.recordDemand("d1", createDemand(1, 1), 10_500);
  keeper.recordDemand("keeper-b", createDemand(3, 100, "b"), 10_500);
  keeper.tick([], 11_000);
  assert.equal(takePermits().map(({ to }) => to), ["d1"]);
});

test("unmet demand is sent to the lenders, and a loan to who needs it most", () => {
  const { keeper, takeSent } = createCoordinator();
  keeper.recordDemand("d1", createDemand(1, 1), 0);
  keeper.recordDemand("d2", createDemand(1, 5), 0);
  takeSent();
  keeper.tick(["keeper-b"], 10);
  const [asked] = takeSent();
  assert.is(asked?.to, "keeper-b");
  assert.equal(asked?.message, createDemand(2, 5));
  const loan = {
    kind: "storePermit",
    permitId: "p1",
    lenderId: "keeper-b",
  } as const;
  keeper.acceptLoan(loan, 20);
  assert.equal(takeSent(), [{ kind: "send", to: "d2", message: loan }]);
  keeper.acceptLoan(loan, 30);
  takeSent();
  keeper.acceptLoan(loan, 40);
  assert.equal(takeSent(), [{
    kind: "send",
    to: "keeper-b",
    message: { kind: "storePermitReturn", permitId: "p1", wasUsed: false },
  }]);
});

test.run();
