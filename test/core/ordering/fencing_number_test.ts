/**
 * Fencing numbers from an engine's start time and count: they increase from
 * owner to owner, also where the engine confirmed orders without counting them.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { hashText } from "../../../src/core/hashing.ts";
import {
  computeContestedSlot,
  computeFencingNumber,
  FencingSequence,
} from "../../../src/core/ordering/fencing_number.ts";

const BORN = 1_700_000_000_000;

/** Names of hosts, sorted by descending part of the numbers. */
const [HIGH, LOW] = ["first", "second"].sort((a, b) =>
  hashText(b) % 2_048 - hashText(a) % 2_048
) as [string, string];

function createSequence(sequence: number): FencingSequence {
  const fencing = new FencingSequence();
  fencing.begin(sequence);
  return fencing;
}

/** Returns the number of an order that the engine accepts. */
function accept(
  fencing: FencingSequence,
  kind: "load" | "evict",
  host: string,
): number {
  const position = fencing.issuePosition(kind, undefined);
  fencing.recordAccepted();
  return computeFencingNumber({ bornAtUnixMs: BORN, position, host });
}

test("an owner that reads the count after an eviction that was not counted has a higher number", () => {
  const former = createSequence(5);
  accept(former, "load", HIGH);
  former.recordCounted(6);
  const last = accept(former, "evict", HIGH);
  assert.ok(accept(createSequence(6), "load", LOW) > last);
});

test("an owner to which the engine is handed over after an eviction has a higher number, and so has the next", () => {
  const former = createSequence(5);
  const last = accept(former, "evict", HIGH);
  const successor = new FencingSequence();
  successor.setBoundsAbove(former.bounds);
  const next = accept(successor, "evict", LOW);
  assert.ok(next > last);
  assert.ok(accept(createSequence(6), "evict", LOW) > next);
});

test("an order that the engine refused leaves no trace", () => {
  const fencing = createSequence(5);
  fencing.recordCounted(7);
  fencing.issuePosition("load", undefined);
  assert.is(fencing.bounds.minPosition, createSequence(5).bounds.minPosition);
});

test("an owner's numbers never fall within one start of the engine", () => {
  const fencing = createSequence(5);
  const numbers: number[] = [];
  for (const kind of ["evict", "load", "evict", "evict", "load"] as const) {
    numbers.push(accept(fencing, kind, HIGH));
    if (kind === "load") fencing.recordCounted(8);
  }
  fencing.recordContested(3);
  numbers.push(accept(fencing, "load", HIGH));
  assert.equal(numbers, [...numbers].sort((a, b) => a - b));
});

test("a claimant's number at the same count is higher in a later slot", () => {
  const slots = [-3, 0, 1, 5, 15, 40, 100_000];
  const positions = slots.map((slot) =>
    createSequence(0).issuePosition("load", slot) * 256
  );
  assert.equal(positions, [0, 0, 1, 5, 15, 40, 384 * 256 - 1]);
  const later = slots.map((slot) =>
    createSequence(1).issuePosition("load", slot)
  );
  assert.equal(later, [376, 376, 377, 381, 383, 383, 383]);
});

test("the later of two claimants that load the model of an empty engine has the higher number, also minutes after its start", () => {
  for (const ageMs of [0, 20, 3_600, 9_388, 51_000, 180_000]) {
    const [earlier, later] = [{ ageMs, host: HIGH }, {
      ageMs: ageMs + 2,
      host: LOW,
    }].map(({ ageMs, host }) =>
      computeFencingNumber({
        bornAtUnixMs: BORN,
        position: createSequence(0)
          .issuePosition("load", computeContestedSlot(ageMs)),
        host,
      })
    ) as [number, number];
    assert.ok(later > earlier, `at ${ageMs} ms`);
    assert.ok(Number.isSafeInteger(earlier) && Number.isSafeInteger(later));
    const next = createSequence(1).issuePosition("load", undefined);
    assert.ok(
      computeFencingNumber({ bornAtUnixMs: BORN, position: next, host: LOW }) >
        later,
    );
  }
});

test("an owner that reads the count after a load that was not counted has a higher number", () => {
  const former = createSequence(1);
  const last = computeFencingNumber({
    bornAtUnixMs: BORN,
    position: former.issuePosition("load", 40),
    host: HIGH,
  });
  const position = createSequence(1).issuePosition("load", undefined);
  const next = computeFencingNumber({
    bornAtUnixMs: BORN,
    position,
    host: LOW,
  });
  assert.ok(next > last);
});

test("numbers increase across a restart of the engine", () => {
  const before = accept(createSequence(100), "load", HIGH);
  const after = computeFencingNumber({
    bornAtUnixMs: BORN + 2_000,
    position: createSequence(0).issuePosition("load", undefined),
    host: LOW,
  });
  assert.ok(after > before);
});

test("numbers are above those that the previous release made of the time of day, and exact", () => {
  const position = createSequence(0).issuePosition("load", undefined);
  const compute = (bornAtUnixMs: number) =>
    computeFencingNumber({ bornAtUnixMs, position, host: LOW });
  const previous = (BORN + 365 * 86_400_000) * 1_024 + 1_023;
  assert.ok(compute(BORN) > previous);
  assert.ok(Number.isSafeInteger(compute(Date.UTC(2109, 0))));
});

test.run();
