/**
 * Quarantine of requests that crash upstreams, and of the parts that they share.
 * The load pattern: chats with a common first message, some with a message that
 * crashes every engine, no two alike.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CrashQuarantine,
  type RequestTraits,
} from "../../../src/core/limits/crash_quarantine.ts";

const FIRST = "first";
const DEADLY = "deadly";
const LIFETIME_MS = 60_000;
let lastRequest = 0;

function createQuarantine(): CrashQuarantine {
  return new CrashQuarantine({ maxStrikes: 2, strikeLifetimeMs: LIFETIME_MS });
}

function createTraits(...sharedParts: string[]): RequestTraits {
  lastRequest += 1;
  return { fingerprint: `request-${lastRequest}`, sharedParts };
}

test("requests that share a part that crashes upstreams run exclusively after one crash, and are refused after two exclusive ones", () => {
  const quarantine = createQuarantine();
  quarantine.recordCompletion(createTraits(FIRST), false, 500);
  quarantine.recordCrash(createTraits(FIRST, DEADLY), false, 1_000);
  assert.ok(quarantine.isSuspect(createTraits(FIRST, DEADLY), 1_001));
  assert.not.ok(quarantine.isSuspect(createTraits(FIRST), 1_001));
  for (const now of [2_000, 3_000]) {
    const request = createTraits(FIRST, DEADLY);
    assert.not.ok(quarantine.isQuarantined(request, now));
    quarantine.recordCrash(request, true, now);
    quarantine.recordCompletion(createTraits(FIRST), false, now + 1);
  }
  const next = createTraits(FIRST, DEADLY);
  assert.ok(quarantine.isQuarantined(next, 3_010));
  assert.ok(quarantine.getRemainingMs(next, 3_010) > 0);
  assert.not.ok(quarantine.isQuarantined(createTraits(FIRST), 3_010));
});

test("a part that was in every crash beside the crashing one, by chance, is not refused without it", () => {
  const quarantine = createQuarantine();
  for (const now of [1_000, 2_000]) {
    quarantine.recordCrash(createTraits(DEADLY, "session"), true, now);
  }
  const sound = createTraits("session");
  assert.not.ok(quarantine.isQuarantined(sound, 2_001));
  assert.ok(quarantine.isQuarantined(createTraits(DEADLY, "session"), 2_001));
  quarantine.recordCompletion(sound, false, 2_500);
  assert.ok(quarantine.isQuarantined(createTraits(DEADLY, "other"), 2_501));
  assert.not.ok(quarantine.isSuspect(createTraits("session"), 2_501));
});

test("the part that two crashed requests have in common is refused, their other parts are not", () => {
  const quarantine = createQuarantine();
  quarantine.recordCrash(createTraits(DEADLY, "session-1"), true, 1_000);
  quarantine.recordCrash(createTraits(DEADLY, "session-2"), true, 2_000);
  assert.ok(quarantine.isQuarantined(createTraits(DEADLY, "s-3"), 2_001));
  for (const session of ["session-1", "session-2"]) {
    assert.not.ok(quarantine.isQuarantined(createTraits(session), 2_001));
  }
});

test("a part of many sound requests needs three crashes without a completed run to be suspected", () => {
  const quarantine = createQuarantine();
  quarantine.recordCompletion(createTraits(FIRST), false, 500);
  for (const [crash, now] of [1_000, 2_000, 3_000].entries()) {
    assert.not.ok(quarantine.isSuspect(createTraits(FIRST), now), `${crash}`);
    quarantine.recordCrash(createTraits(FIRST), false, now);
  }
  assert.ok(quarantine.isSuspect(createTraits(FIRST), 3_001));
});

test("a peer's word does not undo a run that completed here since", () => {
  const [known, peer] = [createQuarantine(), createQuarantine()];
  peer.recordCrash(createTraits(FIRST), false, 1_000);
  known.recordCompletion(createTraits(FIRST), false, 1_500);
  known.mergeDigests(peer.getDigests(2_000), 2_000);
  assert.not.ok(known.isSuspect(createTraits(FIRST), 2_001));
});

test("a daemon refuses a part by its peers' strikes", () => {
  const [known, peer] = [createQuarantine(), createQuarantine()];
  for (const now of [1_000, 2_000]) {
    peer.recordCrash(createTraits(DEADLY), true, now);
  }
  known.mergeDigests(peer.getDigests(2_100), 2_100);
  assert.ok(known.isQuarantined(createTraits(DEADLY), 2_101));
  assert.not.ok(known.isQuarantined(createTraits(FIRST), 2_101));
});

test("a request that crashes upstreams and completes alone in between is refused after three crashes", () => {
  const quarantine = createQuarantine();
  const request = createTraits();
  for (const now of [1_000, 2_000, 3_000]) {
    assert.not.ok(quarantine.isQuarantined(request, now));
    quarantine.recordCrash(request, false, now);
    if (now < 3_000) quarantine.recordCompletion(request, true, now + 500);
  }
  assert.ok(quarantine.isQuarantined(request, 3_001));
});

test("a request that completes far more often than it is in crashes is not refused", () => {
  const quarantine = createQuarantine();
  const request = createTraits();
  for (let crash = 1; crash <= 6; crash += 1) {
    quarantine.recordCrash(request, false, 1_000 * crash);
    for (let run = 0; run < 12; run += 1) {
      quarantine.recordCompletion(request, run === 0, 1_000 * crash + run);
    }
    assert.not.ok(quarantine.isQuarantined(request, 1_000 * crash + 100));
  }
});

test.run();
