/**
 * Faults round an engine's restart for restart_schedule_simulation.ts: each kind
 * at each instant from the crash to four seconds after the engine is up again,
 * and seeded combinations.
 */
import { RandomSource } from "./random_source.ts";
import {
  CRASH_AT,
  type ScheduledFault,
  UP_AT,
} from "./restart_schedule_simulation.ts";

/** Time after the engine's start in which faults begin. */
const FAULTS_AFTER_START_MS = 4_000;
/** Time between two instants of the systematic schedules. */
const INSTANT_MS = 250;

/** A fault without its time, and the name under which a test lists it. */
type UntimedFault = ScheduledFault extends infer Fault
  ? Fault extends ScheduledFault ? Omit<Fault, "at"> : never
  : never;

/** Returns the faults of the daemon of a rank, and those of the whole fleet. */
function listFaults(rank: number): UntimedFault[] {
  return [
    { kind: "kill", rank, forMs: 600 },
    { kind: "kill", rank, forMs: 60_000 },
    { kind: "killFleet", forMs: 800 },
    { kind: "suspend", rank, forMs: 700 },
    { kind: "suspend", rank, forMs: 1_900 },
    { kind: "suspend", rank, forMs: 3_200 },
    { kind: "slow", rank, forMs: 4_000, delayMs: 250 },
    { kind: "slow", rank, forMs: 4_000, delayMs: 650 },
    { kind: "cutFromPeers", rank, forMs: 1_200, direction: "in" },
    { kind: "cutFromPeers", rank, forMs: 2_500, direction: "in" },
    { kind: "cutFromPeers", rank, forMs: 1_200, direction: "out" },
    { kind: "cutFromPeers", rank, forMs: 2_500, direction: "out" },
    { kind: "cutFromPeers", rank, forMs: 4_000, direction: "both" },
    { kind: "cutFromEngine", rank, forMs: 800 },
    { kind: "cutFromEngine", rank, forMs: 3_000 },
    { kind: "loseAnswers", rank, forMs: 1_000 },
    { kind: "stop", rank, forMs: 900 },
    { kind: "stepClock", rank, forMs: 6_000, stepMs: 2_900 },
    { kind: "stepClock", rank, forMs: 6_000, stepMs: -2_900 },
    { kind: "lapseEntry", rank, forMs: 400 },
  ];
}

/** Returns the schedules of one fault of a daemon, beside a lost message. */
export function listSystematicSchedules(): ScheduledFault[][] {
  const schedules: ScheduledFault[][] = [];
  const endsAt = UP_AT + FAULTS_AFTER_START_MS;
  for (let at = CRASH_AT; at <= endsAt; at += INSTANT_MS) {
    for (const rank of [0, 1]) {
      for (const fault of listFaults(rank)) {
        const other = 1 - rank;
        schedules.push([
          { ...fault, at },
          {
            kind: "missAcknowledgement",
            at: at + 50,
            rank: other,
            peerRank: rank,
          },
        ]);
      }
    }
  }
  return schedules;
}

/** Draws a schedule of two to five faults of the daemons that rank first. */
export function drawSchedule(random: RandomSource): ScheduledFault[] {
  const count = random.drawInteger(2, 5);
  return Array.from({ length: count }, () => {
    const rank = random.drawInteger(0, 2);
    const at = random.drawInteger(
      CRASH_AT - 500,
      UP_AT + FAULTS_AFTER_START_MS,
    );
    const faults = listFaults(rank);
    const fault = faults[random.drawInteger(0, faults.length + 3)];
    if (fault) return { ...fault, at };
    return {
      kind: "missAcknowledgement",
      at,
      rank,
      peerRank: (rank + random.drawInteger(1, 2)) % 3,
    };
  });
}

/**
 * Draws a schedule in which nobody knows of the engine's former owner, and the
 * two daemons that rank first claim it without hearing each other.
 */
export function drawClaimRace(
  daemons: number,
  random: RandomSource,
): ScheduledFault[] {
  const lapses = Array.from({ length: daemons }, (_, rank): ScheduledFault => ({
    kind: "lapseEntry",
    rank,
    at: UP_AT - 400,
    forMs: random.drawInteger(400, 900),
  }));
  const cutAt = UP_AT + random.drawInteger(300, 900);
  const misses = [60, 200, 400].map((delayMs): ScheduledFault => ({
    kind: "missAcknowledgement",
    at: cutAt + delayMs,
    rank: 1,
    peerRank: 0,
  }));
  return [
    ...lapses,
    {
      kind: "cutFromPeers",
      rank: 0,
      at: cutAt,
      forMs: random.drawInteger(800, 4_000),
      direction: random.drawBoolean(50) ? "out" : "both",
    },
    ...misses,
    {
      kind: "suspend",
      rank: 0,
      at: cutAt + random.drawInteger(100, 900),
      forMs: random.drawInteger(300, 2_600),
    },
    {
      kind: "slow",
      rank: random.drawInteger(0, 1),
      at: UP_AT + random.drawInteger(300, 1_500),
      forMs: random.drawInteger(800, 3_000),
      delayMs: random.drawInteger(20, 700),
    },
  ];
}
