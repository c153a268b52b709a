/**
 * `bench relay`: compares the processor time per relayed event of a daemon with
 * that of a bare pipe in the same run.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../../scripts/fleet.ts";
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import {
  readProcessorTimeUs,
  type RelayTarget,
  startDaemonTarget,
  startPipeTarget,
  startStreams,
} from "./relay_targets.ts";

/**
 * Time for which idle relays are measured, and wait before streams are
 * measured.
 */
const SETTLE_MS = 2_000;
const MS_PER_SECOND = 1_000;
/**
 * Tokens per second that each of 900 daemons relays at the peak of the target
 * scale.
 */
const TARGET_EVENTS_PER_SECOND = 42_000;
const US_PER_SECOND = 1_000_000;

interface RelayRow {
  target: string;
  eventsPerSecond: number;
  idleUsPerSecond: number;
  usPerEvent: number;
  /** Processor time per event, relative to the bare pipe. */
  ratio: number;
  /** CPU cores needed for the event rate of the target scale. */
  coresAtTarget: number;
}

interface Sample {
  at: number;
  events: number;
  processorUs: number;
}

export const relayCommand: Subcommand = {
  name: "relay",
  description: "Processor time a relayed event, daemon against a bare pipe",
  options: [
    { flags: "--streams", description: "Streams at once", value: 300 },
    { flags: "--seconds", description: "Time measured", value: 8 },
    {
      flags: "--interval-ms",
      description: "Time between events of a stream",
      value: 39,
    },
    {
      flags: "--compare",
      description: "Program of another version of the daemon, run beside it",
      value: "",
    },
    { flags: "--json", description: "Print JSON", value: false },
  ],
  run: async (options: SubcommandArguments) => {
    const fleets: Fleet[] = [];
    try {
      const rows = await measureTargets(options, fleets);
      if (options["json"]) {
        console.log(JSON.stringify({ rows }, undefined, 2));
      } else {
        for (const row of rows) console.log(formatRow(row));
      }
    } finally {
      for (const fleet of fleets) await fleet.stop();
    }
  },
};

async function measureTargets(
  options: SubcommandArguments,
  fleets: Fleet[],
): Promise<RelayRow[]> {
  const streams = Number(options["streams"]);
  const engineOptions = {
    streams,
    tokenIntervalMs: Number(options["interval-ms"]),
  };
  const comparedProgram = String(options["compare"] ?? "");
  const targets = [
    await startPipeTarget(engineOptions, fleets),
    await startDaemonTarget("daemon", engineOptions, fleets),
    ...(comparedProgram === "" ? [] : [
      await startDaemonTarget(
        "compared",
        engineOptions,
        fleets,
        comparedProgram,
      ),
    ]),
  ];
  const idle = await measure(targets, SETTLE_MS);
  await startStreams(targets, streams);
  await sleep(SETTLE_MS);
  const busy = await measure(
    targets,
    Number(options["seconds"]) * MS_PER_SECOND,
  );
  for (const { client } of targets) await client.stop();
  const pipeUsPerEvent = computeUsPerEvent(busy[0]);
  return targets.map(({ name }, index) => {
    const difference = busy[index] ?? { at: 0, events: 0, processorUs: 0 };
    const usPerEvent = computeUsPerEvent(difference);
    return {
      target: name,
      eventsPerSecond: difference.events / difference.at * MS_PER_SECOND,
      idleUsPerSecond: computeUsPerSecond(idle[index]),
      usPerEvent,
      ratio: usPerEvent / pipeUsPerEvent,
      coresAtTarget: usPerEvent * TARGET_EVENTS_PER_SECOND / US_PER_SECOND,
    };
  });
}

/** Returns the difference of each target's samples over the duration. */
async function measure(
  targets: readonly RelayTarget[],
  durationMs: number,
): Promise<Sample[]> {
  const before = targets.map(takeSample);
  await sleep(durationMs);
  return targets.map((target, index) => {
    const after = takeSample(target);
    const { at = 0, events = 0, processorUs = 0 } = before[index] ?? {};
    return {
      at: after.at - at,
      events: after.events - events,
      processorUs: after.processorUs - processorUs,
    };
  });
}

function takeSample({ pid, client }: RelayTarget): Sample {
  return {
    at: performance.now(),
    events: client.eventCount,
    processorUs: readProcessorTimeUs(pid),
  };
}

function computeUsPerEvent(difference: Sample | undefined): number {
  return difference
    ? difference.processorUs / Math.max(1, difference.events)
    : 0;
}

function computeUsPerSecond(difference: Sample | undefined): number {
  return difference
    ? difference.processorUs / difference.at * MS_PER_SECOND
    : 0;
}

function formatRow(row: RelayRow): string {
  return `${row.target.padEnd(9)} ${
    row.eventsPerSecond.toFixed(0)
  } events/s, idle ${row.idleUsPerSecond.toFixed(0)} us/s, ${
    row.usPerEvent.toFixed(1)
  } us an event, ${row.ratio.toFixed(2)} of the pipe, ${
    row.coresAtTarget.toFixed(2)
  } cores at ${TARGET_EVENTS_PER_SECOND} events/s`;
}
