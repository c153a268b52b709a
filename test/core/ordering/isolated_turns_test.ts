/**
 * Turns of daemons that know no other daemon: they follow from the host alone,
 * and those of different hosts are apart.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  computeHostOrdinal,
  computeLoadDelayMs,
  findEvictionTurn,
} from "../../../src/core/ordering/isolated_turns.ts";

const DOMAINS = ["a", "b", "c", "d"];
const CYCLE_MS = 6_400;

/** Returns when the turn begins, from the start of the cycle. */
function findTurnMs(ordinal: number): number {
  return computeLoadDelayMs(ordinal, CYCLE_MS - 1) + CYCLE_MS - 1;
}

test("hosts differ in their ordinals, whether each failure domain numbers its own or not", () => {
  const ordinals = new Set<number>();
  for (const failureDomain of DOMAINS) {
    for (let number = 1; number <= 16; number += 1) {
      const host = `front-${failureDomain}-${number}`;
      ordinals.add(
        computeHostOrdinal({ host, failureDomain, failureDomains: DOMAINS }),
      );
    }
  }
  assert.is(ordinals.size, 64);
  const alone = [7, 8].map((number) =>
    computeHostOrdinal({
      host: `front-${number}`,
      failureDomain: "a",
      failureDomains: [],
    })
  );
  assert.equal(alone, [7, 8]);
  assert.is.not(
    computeHostOrdinal({
      host: "left",
      failureDomain: "a",
      failureDomains: DOMAINS,
    }),
    computeHostOrdinal({
      host: "right",
      failureDomain: "a",
      failureDomains: DOMAINS,
    }),
  );
});

test("the loads of 32 hosts are 200 ms apart, so that they arrive in the order of their numbers", () => {
  const turns = Array.from({ length: 32 }, (_, index) => findTurnMs(index))
    .sort((a, b) => a - b);
  for (let index = 1; index < turns.length; index += 1) {
    const gapMs = (turns[index] ?? 0) - (turns[index - 1] ?? 0);
    assert.ok(gapMs > 199, `${gapMs} ms`);
  }
});

// Guards against an isolated daemon that loads a base model within 20 ms of one
// that hears a majority, with a higher number (seed 3012 of isolated_hosts_test).
test("isolated daemons do not load while daemons that hear a majority may", () => {
  for (let ordinal = 0; ordinal < 1_000; ordinal += 1) {
    for (let ageMs = 0; ageMs < CYCLE_MS; ageMs += 10) {
      if (computeLoadDelayMs(ordinal, ageMs) > 0) continue;
      assert.ok(ageMs % 200 >= 100, `${ordinal} at ${ageMs} ms`);
    }
  }
});

test("64 hosts never evict the same adapter within the time in which they do not see each other's order", () => {
  const unseenMs = 850;
  for (const adapters of [1, 3, 8, 17]) {
    const lastByShare = new Map<number, { ordinal: number; at: number }>();
    let turns = 0;
    for (let ageMs = 0; ageMs < 180_000; ageMs += 50) {
      for (let ordinal = 0; ordinal < 64; ordinal += 1) {
        const turn = findEvictionTurn(ordinal, adapters, ageMs);
        if (!turn || turn.delayMs > 0) continue;
        const { share } = turn;
        turns += 1;
        const last = lastByShare.get(share);
        const isApart = !last || last.ordinal === ordinal ||
          ageMs - last.at >= unseenMs;
        assert.ok(isApart, `${last?.ordinal} and ${ordinal} at ${ageMs} ms`);
        lastByShare.set(share, { ordinal, at: ageMs });
      }
    }
    assert.ok(turns > 0);
  }
  assert.is(findEvictionTurn(1, 0, 1_000), undefined);
});

test("a turn returns with each cycle, also where a wrong clock makes the age negative", () => {
  for (const ordinal of [0, 1, 5, 4_294_967_295]) {
    for (const ageMs of [-9_000, -1, 0, 3_300, 500_000]) {
      const delayMs = computeLoadDelayMs(ordinal, ageMs);
      assert.ok(delayMs >= 0 && delayMs <= CYCLE_MS);
      const turnAt = ageMs + delayMs;
      assert.is(computeLoadDelayMs(ordinal, turnAt + 1e-3), 0);
      assert.is(computeLoadDelayMs(ordinal, turnAt + CYCLE_MS + 1e-3), 0);
    }
  }
});

test.run();
