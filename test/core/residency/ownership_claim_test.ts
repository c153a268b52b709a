import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_CORE_SETTINGS } from "../../../src/core/core_settings.ts";
import type { Effect } from "../../../src/core/effects.ts";
import type { HandoverMessage } from "../../../src/core/messages.ts";
import { PendingOrders } from "../../../src/core/residency/pending_orders.ts";
import {
  OwnerContext,
  type UpstreamOwnerOptions,
} from "../../../src/core/residency/owner_context.ts";
import { OwnershipClaim } from "../../../src/core/residency/ownership_claim.ts";
import { UpstreamReader } from "../../../src/core/residency/upstream_reader.ts";

const MAX_RUN_MS = 5_000;
const PREDECESSOR_WAIT_MS = DEFAULT_CORE_SETTINGS.ownershipValidityMs +
  DEFAULT_CORE_SETTINGS.leaseWindowMs + DEFAULT_CORE_SETTINGS.leaseMarginMs +
  MAX_RUN_MS;

/**
 * Returns a claim that succeeded at `claimedAt`, on an engine that had reported
 * `reportedFencing`.
 */
function createClaim(
  selfId: string,
  options: {
    reportedFencing: number;
    claimedAt: number;
    fencing?: "checked" | "ignored";
  },
): OwnershipClaim {
  const effects: Effect[] = [];
  const context = new OwnerContext(
    {
      selfId,
      host: { id: "engine-1" },
      pool: { kind: "engine", fencing: options.fencing ?? "checked" },
      settings: DEFAULT_CORE_SETTINGS,
      maxRunMs: MAX_RUN_MS,
      emit: (effect: Effect) => effects.push(effect),
      createId: (prefix: string) => `${prefix}/${selfId}`,
    } as unknown as UpstreamOwnerOptions,
  );
  const parts = {
    orders: new PendingOrders(context),
    reader: new UpstreamReader(context),
  };
  const claim = new OwnershipClaim(context, parts, options.claimedAt);
  parts.reader.tick(options.claimedAt);
  for (const effect of effects) {
    if (effect.kind !== "readUpstreamState") continue;
    parts.reader.recordState(effect.readId, {
      incarnation: "e1",
      fencing: options.reportedFencing,
      leaving: false,
      residents: [],
      running: 0,
    });
  }
  claim.claimIfRead(options.claimedAt);
  claim.recordClaimEnd({ kind: "done" }, options.claimedAt);
  return claim;
}

function createHandover(
  claim: OwnershipClaim,
  now: number,
): HandoverMessage {
  return {
    kind: "handover",
    upstreamId: "engine-1",
    upstreamIncarnation: "e1",
    fencing: claim.fencing,
    leases: [],
    ...claim.describePredecessorWait(now),
  };
}

test("a handover passes on the sender's wait for previous owners", () => {
  const first = createClaim("entry-1", { reportedFencing: 0, claimedAt: 0 });
  const second = createClaim("entry-2", {
    reportedFencing: first.fencing,
    claimedAt: 300,
  });
  second.acceptHandover(createHandover(first, 200), 300);
  assert.not(second.hasNoPredecessorRunOn("briefing@v1", 400));
  assert.is(second.getEvictionAllowedInMs(300), PREDECESSOR_WAIT_MS - 200);
});

test("a handover from the last owner ends the wait if that owner had none left", () => {
  const first = createClaim("entry-1", { reportedFencing: 0, claimedAt: 0 });
  const now = PREDECESSOR_WAIT_MS;
  const second = createClaim("entry-2", {
    reportedFencing: first.fencing,
    claimedAt: now,
  });
  second.acceptHandover(createHandover(first, now), now);
  assert.ok(second.hasNoPredecessorRunOn("briefing@v1", now));
});

test("a handover from a daemon that was not the last to claim does not shorten the wait", () => {
  const first = createClaim("entry-1", { reportedFencing: 0, claimedAt: 0 });
  const now = PREDECESSOR_WAIT_MS;
  const third = createClaim("entry-3", {
    reportedFencing: first.fencing + 1,
    claimedAt: now,
  });
  third.acceptHandover(createHandover(first, now), now);
  assert.is(third.getEvictionAllowedInMs(now), PREDECESSOR_WAIT_MS);
});

for (
  const { fencing, isEvictable } of [
    { fencing: "ignored", isEvictable: false },
    { fencing: "checked", isEvictable: true },
  ] as const
) {
  test(`another owner of an upstream with fencing ${fencing} ${isEvictable ? "does not delay evictions" : "delays evictions"}`, () => {
    const now = 2 * PREDECESSOR_WAIT_MS;
    const claim = createClaim("entry-1", {
      reportedFencing: 0,
      claimedAt: 0,
      fencing,
    });
    claim.recordOtherOwner(now);
    assert.is(
      claim.hasNoPredecessorRunOn("briefing@v1", now + 1_000),
      isEvictable,
    );
  });
}

test.run();
