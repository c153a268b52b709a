/** The right to order an engine: one holder a term, whatever is lost, late or restarted. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EngineOwnership,
  OrderEvidence,
  REPORT_LAG_MS,
} from "../../../src/core/ordering/engine_ownership.ts";

const TERM_MS = 3_000;
const BORN = 1_000;
/** A time after all that a test plays. */
const LATE = 60_000;

const MAJORITY = { hasQuorum: true, isUnowned: false };
const MINORITY = { hasQuorum: false, isUnowned: false };
const UNHELD = { hasQuorum: true, isUnowned: true };

function createTenure(): EngineOwnership {
  return new EngineOwnership({ termMs: TERM_MS });
}

/** Reads a report of an engine that has run for a while. */
function readReport(
  tenure: EngineOwnership,
  sequence: number,
  readAt: number,
): void {
  tenure.recordReport(
    { sequence, bornAtUnixMs: BORN, ageMs: 60_000, readAt },
    readAt,
  );
}

function createHolding(sequence = 5): EngineOwnership {
  const tenure = createTenure();
  readReport(tenure, sequence, 0);
  readReport(tenure, sequence, TERM_MS + 300);
  tenure.claim(MAJORITY, TERM_MS + 400);
  return tenure;
}

/** Has the engine accept an order. */
function accept(
  tenure: EngineOwnership,
  sentAt: number,
  evidence: OrderEvidence = OrderEvidence.Load,
): void {
  tenure.recordOrderAnswer({ kind: "accepted" }, evidence, sentAt, sentAt + 1);
}

test("takes over only a whole term after a report", () => {
  const tenure = createTenure();
  tenure.recordReport({
    sequence: 5,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: 0,
  }, 10);
  assert.not(tenure.claim(MAJORITY, TERM_MS));
  assert.is(tenure.getExpectedSequence(LATE), undefined);
  assert.not(
    tenure.claim(MAJORITY, TERM_MS + 300),
    "before the report is confirmed",
  );
  assert.ok(tenure.needsReport(true, MAJORITY, TERM_MS + 300));
  assert.not(tenure.needsReport(false, MAJORITY, TERM_MS + 300));
  readReport(tenure, 5, TERM_MS + 300);
  assert.ok(tenure.claim(MAJORITY, TERM_MS + 300));
  assert.is(tenure.getExpectedSequence(LATE), 5);
});

test("takes over at once what nobody alive has held, once a second report shows no order since their word", () => {
  const tenure = createTenure();
  readReport(tenure, 5, 0);
  assert.not(tenure.claim(UNHELD, 600));
  assert.not(tenure.needsReport(true, UNHELD, 600), "others' word comes first");
  assert.ok(tenure.needsReport(true, UNHELD, 700));
  assert.not(tenure.needsReport(true, MAJORITY, 700));
  readReport(tenure, 5, 700);
  assert.not(tenure.claim(MAJORITY, 710), "somebody may hold it");
  assert.ok(tenure.claim(UNHELD, 710));
  const late = createTenure();
  readReport(late, 5, 0);
  readReport(late, 6, 700);
  assert.not(late.claim(UNHELD, 710), "somebody has ordered");
});

test("takes over an engine without orders at once", () => {
  const tenure = createTenure();
  readReport(tenure, 0, 0);
  assert.ok(tenure.claim(MAJORITY, 1));
});

test("an engine that was observed without orders long ago is looked at again before it is claimed", () => {
  const tenure = createTenure();
  readReport(tenure, 0, 0);
  assert.not(tenure.claim(MAJORITY, LATE));
  assert.ok(tenure.needsReport(true, MAJORITY, LATE));
  readReport(tenure, 138, LATE);
  assert.is(tenure.state.kind, "observing", "not deposed");
  assert.not(tenure.claim(MAJORITY, LATE + 10));
});

test("starts the term again when somebody has ordered", () => {
  const tenure = createTenure();
  readReport(tenure, 5, 0);
  readReport(tenure, 6, 2_000);
  assert.not(tenure.claim(MAJORITY, TERM_MS + 400));
  readReport(tenure, 6, 2_000 + TERM_MS + 300);
  assert.ok(tenure.claim(MAJORITY, 2_000 + TERM_MS + 300));
});

test("counts accepted orders", () => {
  const tenure = createHolding();
  accept(tenure, 4_000);
  assert.is(tenure.getExpectedSequence(LATE), 6);
});

test("gives no order while the last one is in doubt, and asks only after the lag", () => {
  const tenure = createHolding();
  tenure.recordOrderAnswer(
    { kind: "unanswered", detail: "" },
    OrderEvidence.Load,
    4_000,
    4_100,
  );
  assert.is(tenure.getExpectedSequence(LATE), undefined);
  assert.not(tenure.needsReport(true, MAJORITY, 4_100 + REPORT_LAG_MS - 1));
  assert.ok(tenure.needsReport(true, MAJORITY, 4_100 + REPORT_LAG_MS));
});

test("a report within a term of an accepted order settles a lost answer as its own", () => {
  const tenure = createHolding();
  accept(tenure, 4_000);
  tenure.recordOrderAnswer(
    { kind: "unanswered", detail: "" },
    OrderEvidence.Load,
    4_500,
    4_600,
  );
  const readAt = 4_600 + REPORT_LAG_MS;
  const settled = tenure.recordReport({
    sequence: 7,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt,
  }, readAt);
  assert.is(settled.kind, "lastOrderAccepted");
  assert.is(tenure.getExpectedSequence(LATE), 7);
});

test("a count that another may have moved deposes, and the holder stays away for a term", () => {
  const tenure = createHolding();
  tenure.recordOrderAnswer(
    { kind: "conflict" },
    OrderEvidence.Load,
    4_000,
    4_001,
  );
  const readAt = 4_001 + REPORT_LAG_MS;
  const settled = tenure.recordReport({
    sequence: 6,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt,
  }, readAt);
  assert.is(settled.kind, "deposed");
  assert.not(tenure.needsReport(true, MAJORITY, readAt + TERM_MS));
  tenure.recordReport({
    sequence: 9,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: readAt + 10,
  }, readAt + 10);
  assert.is(tenure.state.kind, "deposed", "a report that came too early");
});

test("evictions that the engine confirmed without counting them depose nobody within a term of a counted order", () => {
  const play = (readAt: number): EngineOwnership => {
    const tenure = createHolding(5);
    accept(tenure, 4_000);
    accept(tenure, 4_300, OrderEvidence.Eviction);
    tenure.recordOrderAnswer(
      { kind: "conflict" },
      OrderEvidence.Load,
      4_310,
      4_311,
    );
    readReport(tenure, 6, readAt);
    return tenure;
  };
  const early = play(4_311 + REPORT_LAG_MS);
  assert.is(early.getExpectedSequence(5_000), 6);
  assert.ok(early.isExclusive(6_999), "until a term after the counted order");
  assert.not(early.isExclusive(7_000), "not after the other one");
  assert.is(play(4_000 + TERM_MS).state.kind, "deposed");
});

test("a holder follows a restart only while nobody has ordered since", () => {
  const followed = createHolding();
  const restarted = followed.recordReport({
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: 60_000,
    readAt: 5_000,
  }, 5_000);
  assert.is(restarted.kind, "restarted");
  assert.is(followed.getExpectedSequence(LATE), 0);
  const beaten = createHolding();
  const deposed = beaten.recordReport({
    sequence: 1,
    bornAtUnixMs: BORN + 1,
    ageMs: 60_000,
    readAt: 5_000,
  }, 5_000);
  assert.is(deposed.kind, "deposed");
});

test("an engine that is handed over is ordered at once, but not by one that was deposed", () => {
  const next = createTenure();
  assert.ok(
    next.acceptHandover({
      sequence: 8,
      bornAtUnixMs: BORN,
      acceptedAgeMs: 9_000,
    }, 0),
  );
  assert.is(next.getExpectedSequence(LATE), 8);
  const deposed = createHolding();
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

test("an engine that was idle is verified before the next order", () => {
  const tenure = createHolding();
  assert.not(tenure.isVerified(false, TERM_MS + 1_200));
  readReport(tenure, 5, 5_000);
  assert.ok(tenure.isVerified(false, 5_100));
  accept(tenure, 5_100);
  assert.ok(tenure.isVerified(false, 5_800));
  assert.not(tenure.isVerified(false, 6_100));
});

test("a daemon that hears few of its peers waits a term also for an untouched engine", () => {
  const tenure = createTenure();
  readReport(tenure, 0, 0);
  assert.not(tenure.claim(MINORITY, TERM_MS));
  readReport(tenure, 0, TERM_MS + 300);
  assert.ok(tenure.claim(MINORITY, TERM_MS + 300));
});

test("nobody else can have ordered within a term of an accepted order, only then", () => {
  const tenure = createHolding();
  assert.not(tenure.isExclusive(TERM_MS + 400));
  accept(tenure, 4_000);
  assert.ok(tenure.isExclusive(4_000 + TERM_MS - 1));
  assert.not(tenure.isExclusive(4_000 + TERM_MS));
});

test("the time until a claim counts down from the report", () => {
  const tenure = createTenure();
  assert.is(tenure.estimateClaimMs(MAJORITY, 0), TERM_MS + 300);
  tenure.recordReport({
    sequence: 5,
    bornAtUnixMs: BORN,
    ageMs: 60_000,
    readAt: 100,
  }, 110);
  assert.is(tenure.estimateClaimMs(MAJORITY, 1_100), TERM_MS + 300 - 1_000);
  assert.is(tenure.estimateClaimMs(MAJORITY, 9_000), 0);
});

test("after a pause the engine is verified and the right proved anew", () => {
  const tenure = createHolding();
  accept(tenure, 4_000);
  tenure.recordPause();
  assert.not(tenure.isExclusive(4_010));
  assert.not(tenure.isVerified(false, 4_010));
  assert.is(tenure.getExpectedSequence(LATE), 6);
});

test("after an order that others may have given too, the next waits until they are a term away", () => {
  const tenure = createHolding(0);
  tenure.recordOrderAnswer(
    { kind: "accepted" },
    OrderEvidence.Inconclusive,
    4_000,
    4_010,
  );
  assert.ok(tenure.isOwner());
  assert.not(tenure.isExclusive(4_020), "it shows nothing of others");
  const lastRivalAt = 4_010 + 400 + REPORT_LAG_MS;
  assert.is(tenure.getExpectedSequence(lastRivalAt + TERM_MS), undefined);
  assert.is(tenure.getExpectedSequence(lastRivalAt + TERM_MS + 300), 1);
});

test("the sole holder of an engine that starts again is its only holder for a while", () => {
  const restart = {
    sequence: 0,
    bornAtUnixMs: BORN + 1,
    ageMs: 500,
    readAt: 7_000,
  };
  const tenure = createHolding();
  accept(tenure, 4_000);
  tenure.recordReport(restart, 7_000);
  assert.ok(tenure.isSoleOwnerSinceRestart(7_100));
  assert.not(
    tenure.isSoleOwnerSinceRestart(6_500 + TERM_MS - REPORT_LAG_MS - 400),
  );
  tenure.recordPause();
  assert.not(
    tenure.isSoleOwnerSinceRestart(7_100),
    "the pause may have been long",
  );
  const idle = createHolding();
  idle.recordReport(restart, 7_000);
  assert.not(idle.isSoleOwnerSinceRestart(7_100), "another may hold it unseen");
});

test("while an engine's holder since its start may order alone, nobody else takes a turn", () => {
  const other = createTenure();
  const report = { sequence: 0, bornAtUnixMs: BORN, ageMs: 100, readAt: 100 };
  other.recordReport(report, 100);
  assert.ok(other.claim(MAJORITY, 150));
  const youthMs = TERM_MS - REPORT_LAG_MS - 400;
  assert.ok(other.canBeOwnedSinceStart(150));
  assert.ok(other.canBeOwnedSinceStart(youthMs - 1));
  assert.not(other.canBeOwnedSinceStart(youthMs));
  assert.not(createHolding().canBeOwnedSinceStart(TERM_MS + 400));
});

test.run();
