/**
 * Ownership of an engine: one owner in a term, whatever is lost, late or
 * restarted.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwnership,
  OrderEvidence,
  REPORT_LAG_MS,
} from "../../../src/core/ordering/engine_ownership.ts";

const TERM_MS = 3_000;
const BORN = 1_000;
/** Minimum downtime of an engine that crashes. */
const MIN_RESTART_MS = 1_500;
/** A time after all events of a test. */
const LATE = 60_000;

const MAJORITY = { hasQuorum: true, isUnowned: false, isDisclaimed: false };
const MINORITY = { hasQuorum: false, isUnowned: false, isDisclaimed: true };
const UNOWNED = { hasQuorum: true, isUnowned: true, isDisclaimed: false };
/** All others are heard, and none of them owns the engine. */
const DISCLAIMED = { hasQuorum: true, isUnowned: false, isDisclaimed: true };

function createOwnership(): EngineOwnership {
  return new EngineOwnership({ termMs: TERM_MS });
}

/** Records a report of an engine that has been running for a while. */
function recordReport(
  ownership: EngineOwnership,
  sequence: number,
  readAt: number,
): void {
  ownership.recordReport(
    { sequence, bornAtUnixMs: BORN, ageMs: 60_000, readAt },
    readAt,
  );
}

function createOwned(sequence = 5): EngineOwnership {
  const ownership = createOwnership();
  recordReport(ownership, sequence, 0);
  recordReport(ownership, sequence, TERM_MS + 300);
  ownership.claim(MAJORITY, TERM_MS + 400);
  return ownership;
}

/** Records that the engine accepted an order. */
function accept(
  ownership: EngineOwnership,
  sentAt: number,
  evidence: OrderEvidence = OrderEvidence.Load,
): void {
  ownership.recordOrderAnswer(
    { kind: "accepted" },
    evidence,
    sentAt,
    sentAt + 1,
  );
}

test("an engine is claimed only a whole term after a report", () => {
  const ownership = createOwnership();
  ownership.recordReport({
    sequence: 5,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: 0,
  }, 10);
  assert.not(ownership.claim(MAJORITY, TERM_MS));
  assert.is(ownership.getExpectedSequence(LATE), undefined);
  assert.not(
    ownership.claim(MAJORITY, TERM_MS + 300),
    "before the report is confirmed",
  );
  assert.ok(ownership.needsReport(true, MAJORITY, TERM_MS + 300));
  assert.not(ownership.needsReport(false, MAJORITY, TERM_MS + 300));
  recordReport(ownership, 5, TERM_MS + 300);
  assert.ok(ownership.claim(MAJORITY, TERM_MS + 300));
  assert.is(ownership.getExpectedSequence(LATE), 5);
});

test("an engine that no alive daemon has owned is claimed once a second report shows no order since their heartbeats", () => {
  const ownership = createOwnership();
  recordReport(ownership, 5, 0);
  assert.not(ownership.claim(UNOWNED, 600));
  assert.not(
    ownership.needsReport(true, UNOWNED, 600),
    "the other daemons' heartbeats come first",
  );
  assert.ok(ownership.needsReport(true, UNOWNED, 700));
  assert.not(ownership.needsReport(true, MAJORITY, 700));
  recordReport(ownership, 5, 700);
  assert.not(ownership.claim(MAJORITY, 710), "another daemon may own it");
  assert.ok(ownership.claim(UNOWNED, 710));
  const late = createOwnership();
  recordReport(late, 5, 0);
  recordReport(late, 6, 700);
  assert.not(late.claim(UNOWNED, 710), "another daemon has ordered");
});

test("an engine that may have confirmed one load to two hosts is not claimed before a term has passed, though no alive daemon has owned it", () => {
  const ownership = createOwnership();
  recordReport(ownership, 1, 0);
  recordReport(ownership, 1, 700);
  assert.not(ownership.claim(UNOWNED, 710), "one of them may be this host");
  assert.ok(ownership.estimateClaimMs(UNOWNED, 710) > TERM_MS - 710);
  const claimableAt = TERM_MS + 300;
  recordReport(ownership, 1, claimableAt);
  assert.ok(ownership.claim(UNOWNED, claimableAt + 10));
});

test("an engine without orders is claimed at once by a daemon with a quorum if all others have said that they do not own it", () => {
  const ownership = createOwnership();
  recordReport(ownership, 0, 0);
  assert.not(ownership.claim(MAJORITY, 1), "its owner may not be heard");
  assert.not(ownership.claim(MINORITY, 1));
  assert.ok(ownership.claim(DISCLAIMED, 1));
});

test("an engine that was observed without orders long ago is read again before it is claimed", () => {
  const ownership = createOwnership();
  recordReport(ownership, 0, 0);
  assert.not(ownership.claim(MAJORITY, LATE));
  assert.ok(ownership.needsReport(true, MAJORITY, LATE));
  recordReport(ownership, 138, LATE);
  assert.is(ownership.state.kind, "observing", "not deposed");
  assert.not(ownership.claim(MAJORITY, LATE + 10));
});

test("the term starts again when another daemon has ordered", () => {
  const ownership = createOwnership();
  recordReport(ownership, 5, 0);
  recordReport(ownership, 6, 2_000);
  assert.not(ownership.claim(MAJORITY, TERM_MS + 400));
  recordReport(ownership, 6, 2_000 + TERM_MS + 300);
  assert.ok(ownership.claim(MAJORITY, 2_000 + TERM_MS + 300));
});

test("accepted orders are counted", () => {
  const ownership = createOwned();
  accept(ownership, 4_000);
  assert.is(ownership.getExpectedSequence(LATE), 6);
});

test("no order is sent while the last one is unsettled, and a report is read only after the report lag", () => {
  const ownership = createOwned();
  ownership.recordOrderAnswer(
    { kind: "unanswered", detail: "" },
    OrderEvidence.Load,
    4_000,
    4_100,
  );
  assert.is(ownership.getExpectedSequence(LATE), undefined);
  assert.not(ownership.needsReport(true, MAJORITY, 4_100 + REPORT_LAG_MS - 1));
  assert.ok(ownership.needsReport(true, MAJORITY, 4_100 + REPORT_LAG_MS));
});

test("a report within a term of an accepted order settles a lost answer as accepted", () => {
  const ownership = createOwned();
  accept(ownership, 4_000);
  ownership.recordOrderAnswer(
    { kind: "unanswered", detail: "" },
    OrderEvidence.Load,
    4_500,
    4_600,
  );
  const readAt = 4_600 + REPORT_LAG_MS;
  const settled = ownership.recordReport({
    sequence: 7,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt,
  }, readAt);
  assert.is(settled.kind, "lastOrderAccepted");
  assert.is(ownership.getExpectedSequence(LATE), 7);
});

test("an owner is deposed for a term by a count that another daemon may have increased", () => {
  const ownership = createOwned();
  ownership.recordOrderAnswer(
    { kind: "conflict" },
    OrderEvidence.Load,
    4_000,
    4_001,
  );
  const readAt = 4_001 + REPORT_LAG_MS;
  const settled = ownership.recordReport({
    sequence: 6,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt,
  }, readAt);
  assert.is(settled.kind, "deposed");
  assert.not(ownership.needsReport(true, MAJORITY, readAt + TERM_MS));
  ownership.recordReport({
    sequence: 9,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: readAt + 10,
  }, readAt + 10);
  assert.is(ownership.state.kind, "deposed", "the report was read too early");
});

test("evictions that the engine confirmed without counting them do not depose the owner within a term of a counted order", () => {
  const simulate = (readAt: number): EngineOwnership => {
    const ownership = createOwned(5);
    accept(ownership, 4_000);
    accept(ownership, 4_300, OrderEvidence.Eviction);
    ownership.recordOrderAnswer(
      { kind: "conflict" },
      OrderEvidence.Load,
      4_310,
      4_311,
    );
    recordReport(ownership, 6, readAt);
    return ownership;
  };
  const early = simulate(4_311 + REPORT_LAG_MS);
  assert.is(early.getExpectedSequence(5_000), 6);
  assert.ok(early.isExclusive(6_999), "until a term after the counted order");
  assert.not(
    early.isExclusive(7_000),
    "not until a term after the uncounted one",
  );
  assert.is(simulate(4_000 + TERM_MS).state.kind, "deposed");
});

test("an owner keeps an engine that restarted only if no other daemon has ordered since", () => {
  const kept = createOwned();
  const restarted = kept.recordReport({
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: 60_000,
    readAt: 5_000,
  }, 5_000);
  assert.is(restarted.kind, "restarted");
  assert.is(kept.getExpectedSequence(LATE), 0);
  const lost = createOwned();
  const deposed = lost.recordReport({
    sequence: 1,
    bornAtUnixMs: BORN + 1,
    ageMs: 60_000,
    readAt: 5_000,
  }, 5_000);
  assert.is(deposed.kind, "deposed");
});

test("an engine that is handed over is ordered at once, but not by a deposed daemon", () => {
  const next = createOwnership();
  assert.ok(
    next.acceptHandover({
      sequence: 8,
      bornAtUnixMs: BORN,
      acceptedAgeMs: 9_000,
    }, 0),
  );
  assert.is(next.getExpectedSequence(LATE), 8);
  const deposed = createOwned();
  deposed.recordReport(
    { sequence: 9, bornAtUnixMs: BORN, ageMs: 60_000, readAt: 9_000 },
    9_000,
  );
  assert.is(deposed.state.kind, "deposed");
  assert.not(
    deposed.acceptHandover({
      sequence: 9,
      bornAtUnixMs: BORN,
      acceptedAgeMs: 9_000,
    }, 0),
  );
});

test("an engine that was handed over is verified before the first order: the former owner may have missed its restart", () => {
  const next = createOwnership();
  next.acceptHandover(
    { sequence: 0, bornAtUnixMs: BORN, acceptedAgeMs: 9_000 },
    0,
  );
  assert.not(next.isVerified(false, 10));
  next.recordReport(
    { sequence: 0, bornAtUnixMs: BORN + 1, ageMs: 2_500, readAt: 20 },
    20,
  );
  assert.ok(next.isVerified(true, 30));
  assert.is(next.getEngineAgeMs(30), 2_510, "contested turns depend on it");
});

test("an engine that was idle is verified before the next order", () => {
  const ownership = createOwned();
  assert.not(ownership.isVerified(false, TERM_MS + 1_200));
  recordReport(ownership, 5, 5_000);
  assert.ok(ownership.isVerified(false, 5_100));
  accept(ownership, 5_100);
  assert.ok(ownership.isVerified(false, 5_800));
  assert.not(ownership.isVerified(false, 6_100));
});

test("a daemon without a quorum waits a term for an engine without orders too", () => {
  const ownership = createOwnership();
  recordReport(ownership, 0, 0);
  assert.not(ownership.claim(MINORITY, TERM_MS));
  recordReport(ownership, 0, TERM_MS + 300);
  assert.ok(ownership.claim(MINORITY, TERM_MS + 300));
});

test("no other daemon can have ordered within a term of an accepted order, only then", () => {
  const ownership = createOwned();
  assert.not(ownership.isExclusive(TERM_MS + 400));
  accept(ownership, 4_000);
  assert.ok(ownership.isExclusive(4_000 + TERM_MS - 1));
  assert.not(ownership.isExclusive(4_000 + TERM_MS));
});

test("the time until a claim counts down from the report", () => {
  const ownership = createOwnership();
  assert.is(ownership.estimateClaimMs(MAJORITY, 0), TERM_MS + 300);
  ownership.recordReport({
    sequence: 5,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: 100,
  }, 110);
  assert.is(ownership.estimateClaimMs(MAJORITY, 1_100), TERM_MS + 300 - 1_000);
  assert.is(ownership.estimateClaimMs(MAJORITY, 9_000), 0);
});

test("after a pause the engine has to be verified and ownership proved again", () => {
  const ownership = createOwned();
  accept(ownership, 4_000);
  ownership.recordPause();
  assert.not(ownership.isExclusive(4_010));
  assert.not(ownership.isVerified(false, 4_010));
  assert.is(ownership.getExpectedSequence(LATE), 6);
});

test("after an order that other claimants may have sent too, the next waits until theirs are a term old", () => {
  const ownership = createOwned(0);
  ownership.recordOrderAnswer(
    { kind: "accepted" },
    OrderEvidence.Inconclusive,
    4_000,
    4_010,
  );
  assert.ok(ownership.isOwner());
  assert.not(
    ownership.isExclusive(4_020),
    "it proves nothing about other daemons",
  );
  const lastClaimantAt = 4_010 + 400 + REPORT_LAG_MS;
  assert.is(ownership.getExpectedSequence(lastClaimantAt + TERM_MS), undefined);
  assert.is(ownership.getExpectedSequence(lastClaimantAt + TERM_MS + 300), 1);
});

test("the sole owner of an engine that restarts orders alone until another daemon may have observed the new start for a term", () => {
  const restart = {
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: 500,
    readAt: 7_000,
  };
  const ownership = createOwned();
  accept(ownership, 4_000);
  ownership.recordReport(restart, 7_000);
  const earliestStartAt = 4_000 + MIN_RESTART_MS;
  const endsAt = earliestStartAt + TERM_MS - REPORT_LAG_MS - 400;
  assert.ok(ownership.isSoleOwnerSinceRestart(endsAt - 1));
  assert.not(ownership.isSoleOwnerSinceRestart(endsAt));
  ownership.recordPause();
  assert.not(
    ownership.isSoleOwnerSinceRestart(7_100),
    "the pause may have been long",
  );
  const idle = createOwned();
  idle.recordReport(restart, 7_000);
  assert.not(
    idle.isSoleOwnerSinceRestart(7_100),
    "another daemon may own it unseen",
  );
  const late = createOwned();
  accept(late, 4_000);
  const readAt = 4_000 + TERM_MS + MIN_RESTART_MS;
  late.recordReport({ ...restart, readAt }, readAt);
  assert.not(
    late.isSoleOwnerSinceRestart(readAt),
    "another daemon may have ordered it before the restart",
  );
});

test("a daemon whose clock was behind when it started does not order an engine that restarted alone for seconds longer", () => {
  const ownership = createOwned();
  accept(ownership, 4_000);
  // The engine went down at 4,040 and is back at 6,040.
  const clockLagMs = 2_400;
  const readAt = 6_400;
  ownership.recordReport({
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: readAt - 6_040 - clockLagMs,
    readAt,
  }, readAt);
  assert.ok(ownership.isSoleOwnerSinceRestart(readAt));
  const otherClaimsAt = 6_040 + TERM_MS;
  assert.not(ownership.isSoleOwnerSinceRestart(otherClaimsAt));
});

test("a report of an owned engine extends the time for which its owner orders alone after a restart", () => {
  const restart = {
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: 100,
    readAt: 8_000,
  };
  const ownership = createOwned();
  accept(ownership, 4_000);
  recordReport(ownership, 6, 5_900);
  ownership.recordReport(restart, 8_000);
  assert.ok(ownership.isSoleOwnerSinceRestart(8_000));
  const unsettled = createOwned();
  accept(unsettled, 4_000);
  recordReport(unsettled, 6, 5_900);
  unsettled.recordOrderAnswer(
    { kind: "unanswered", detail: "" },
    OrderEvidence.Load,
    6_000,
    6_600,
  );
  unsettled.recordReport(restart, 8_000);
  assert.ok(unsettled.isSoleOwnerSinceRestart(8_000));
  const paused = createOwned();
  accept(paused, 4_000);
  recordReport(paused, 6, 5_900);
  paused.recordPause();
  paused.recordReport(restart, 8_000);
  assert.not(paused.isSoleOwnerSinceRestart(8_000));
});

test("a daemon that received an engine in a handover and has not verified it does not order it alone after a restart", () => {
  const ownership = createOwnership();
  ownership.acceptHandover({
    sequence: 8,
    bornAtUnixMs: BORN,
    acceptedAgeMs: 2_500,
  }, 10_000);
  assert.not(
    ownership.isVerified(false, 10_000),
    "the engine may have restarted since the last order",
  );
  ownership.recordReport(
    { sequence: 0, bornAtUnixMs: BORN + 1, ageMs: 100, readAt: 11_100 },
    11_100,
  );
  const soleOwnershipMs = TERM_MS - REPORT_LAG_MS - 400;
  const lastOrderAt = 10_000 - 2_500 - 300;
  assert.not(
    ownership.isSoleOwnerSinceRestart(
      lastOrderAt + MIN_RESTART_MS + soleOwnershipMs,
    ),
  );
});

test("no other daemon takes a turn while an engine's owner since its start may order alone, whatever its age seems to be", () => {
  const soleOwnershipMs = TERM_MS - REPORT_LAG_MS - 400;
  for (const clockErrorMs of [0, 2_800, -2_800]) {
    const other = createOwnership();
    const readAt = 100;
    const ageMs = 100 + clockErrorMs;
    other.recordReport({ sequence: 0, bornAtUnixMs: BORN, ageMs, readAt }, 100);
    assert.ok(other.claim(DISCLAIMED, 150));
    assert.ok(other.canBeOwnedSinceStart(150));
    assert.ok(other.canBeOwnedSinceStart(readAt + soleOwnershipMs - 1));
    assert.not(other.canBeOwnedSinceStart(readAt + soleOwnershipMs));
  }
  assert.not(createOwned().canBeOwnedSinceStart(TERM_MS + 400));
});

test.run();
