/**
 * Guards against long background prompts that are admitted to the engine's
 * prefill queue and make the urgent requests behind them late.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  MAX_PREFILL_BACKLOG_MS,
  PrefillShare,
} from "../../../src/core/admission/prefill_share.ts";

const URGENT = { priorityRank: 0, latencyObjectiveMs: 800 };
const BACKGROUND = { priorityRank: 2, latencyObjectiveMs: 2_000 };

test("less urgent requests leave half of an urgent objective, their own prefill included", () => {
  const share = new PrefillShare();
  share.recordArrival(URGENT, 0);
  assert.is(share.computeMaxBacklogMs(BACKGROUND, 100, 10), 300);
  assert.is(share.computeMaxBacklogMs(BACKGROUND, 900, 10), 0);
  assert.is(share.computeMaxBacklogMs(URGENT, 900, 10), MAX_PREFILL_BACKLOG_MS);
});

test("a long prompt whose objective is nearly as short as an urgent one does not wait for an empty backlog", () => {
  const share = new PrefillShare();
  share.recordArrival({ priorityRank: 0, latencyObjectiveMs: 500 }, 0);
  const digest = { priorityRank: 2, latencyObjectiveMs: 800 };
  assert.is(share.computeMaxBacklogMs(digest, 240, 10), MAX_PREFILL_BACKLOG_MS);
});

test("what is left for urgent requests is given back when they stay away", () => {
  const share = new PrefillShare();
  share.recordArrival(URGENT, 0);
  assert.is(
    share.computeMaxBacklogMs(BACKGROUND, 100, 2_000),
    MAX_PREFILL_BACKLOG_MS,
  );
});

test("requests of one class, and of gateways that name no objective, are admitted as before", () => {
  const share = new PrefillShare();
  share.recordArrival(BACKGROUND, 0);
  assert.is(
    share.computeMaxBacklogMs(BACKGROUND, 900, 10),
    MAX_PREFILL_BACKLOG_MS,
  );
  share.recordArrival({ priorityRank: 0 }, 0);
  assert.is(
    share.computeMaxBacklogMs(BACKGROUND, 900, 10),
    MAX_PREFILL_BACKLOG_MS,
  );
});

test.run();
