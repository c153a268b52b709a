/**
 * Guards the order of waiting: urgent requests that became late waited behind
 * less urgent ones in time until they were rejected.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type OrderedRequest,
  rankWaiting,
} from "../../../src/core/admission/waiting_order.ts";

interface NamedRequest extends OrderedRequest {
  name: string;
}

function createEntry(
  name: string,
  part: Partial<OrderedRequest> & {
    priorityRank?: number;
    latencyObjectiveMs?: number;
  },
): NamedRequest {
  const { priorityRank = 1, latencyObjectiveMs = 1_000, ...times } = part;
  return {
    name,
    urgency: { priorityRank, latencyObjectiveMs },
    arrivedAt: 0,
    onTimeUntil: 900,
    overdueAt: 1_300,
    ...times,
  };
}

function listNames(requests: readonly NamedRequest[], now: number): string[] {
  return rankWaiting(requests, now).map((each) => each.name);
}

test("equally urgent requests go in time before late, then by arrival", () => {
  const requests = [
    createEntry("late", { arrivedAt: -1_000, onTimeUntil: -100 }),
    createEntry("second", { arrivedAt: 5, onTimeUntil: 100 }),
    createEntry("first", { arrivedAt: 1, onTimeUntil: 500 }),
  ];
  assert.equal(listNames(requests, 10), ["first", "second", "late"]);
});

test("an urgent late request goes before a less urgent one in time", () => {
  const requests = [
    createEntry("background", { priorityRank: 2, onTimeUntil: 2_000 }),
    createEntry("urgent", { priorityRank: 0, onTimeUntil: -1 }),
  ];
  assert.equal(listNames(requests, 0), ["urgent", "background"]);
});

test("with one priority and several objectives, the time left decides", () => {
  const requests = [
    createEntry("long", { latencyObjectiveMs: 2_000, onTimeUntil: 1_900 }),
    createEntry("short", { arrivedAt: 300, onTimeUntil: 1_100 }),
  ];
  assert.equal(listNames(requests, 400), ["short", "long"]);
});

test("a late request goes before one with plenty of time, not before one with little", () => {
  const requests = [
    createEntry("plenty", { latencyObjectiveMs: 9_000, onTimeUntil: 8_900 }),
    createEntry("late", { onTimeUntil: 900, overdueAt: 1_300 }),
    createEntry("little", { arrivedAt: 300, onTimeUntil: 1_200 }),
  ];
  assert.equal(listNames(requests, 1_000), ["little", "late", "plenty"]);
});

test.run();
