/**
 * Selects the records of gateways' logs related to one request, in time order:
 * its own records, those on the state of its upstreams and the orders to them,
 * and events of the hosts that handled it.
 */
import * as z from "zod";
import type { Milliseconds } from "../core/structures.ts";

const recordSchema = z.object({
  time: z.iso.datetime(),
  level: z.string(),
  host: z.string(),
  event: z.string(),
  requestId: z.string().optional(),
  upstream: z.string().optional(),
}).loose();

/** One record of a gateway's log, which is one line. */
export type LogRecord = z.infer<typeof recordSchema>;

/**
 * Time before a request's first record in which the cause of its outcome may
 * lie: an ownership term plus the time to detect a dead member.
 */
const LOOK_BACK_MS = 5_000;
/** Time after its last record in which effects of its decisions may be logged. */
const LOOK_AHEAD_MS = 500;
/** Events of an upstream that can affect the requests sent to it. */
const UPSTREAM_EVENTS: ReadonlySet<string> = new Set([
  "engineBelief",
  "orderGiven",
  "reportUnread",
  "upstreamChanged",
  "upstreamGone",
  "upstreamLapsed",
]);
/** Events of a host that can affect all requests that it handles. */
const HOST_EVENTS: ReadonlySet<string> = new Set([
  "configurationInForce",
  "internalError",
  "logLinesDropped",
  "pauseDetected",
  "peerSilent",
  "peerViewUnread",
  "readinessChanged",
  "started",
  "stopping",
  "storeLost",
  "storeRegained",
]);

/** Parses one line, whose JSON may follow a prefix; undefined if it is not a log record. */
export function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return recordSchema.safeParse(JSON.parse(line.slice(start))).data;
  } catch {
    // Other programs may write to the same file: lines without JSON are skipped.
    return undefined;
  }
}

/** Returns the records related to the request, oldest first; none if no record has its id. */
export function selectRequestRecords(
  records: readonly LogRecord[],
  requestId: string,
): LogRecord[] {
  const ownRecords = records.filter((record) => record.requestId === requestId);
  if (ownRecords.length === 0) return [];
  const times = ownRecords.map(getTimeMs);
  const from = Math.min(...times) - LOOK_BACK_MS;
  const until = Math.max(...times) + LOOK_AHEAD_MS;
  const hosts = new Set(ownRecords.map((record) => record.host));
  const upstreams = new Set(
    ownRecords.flatMap((record) => record.upstream ?? []),
  );
  const isRelated = (record: LogRecord): boolean => {
    if (record.requestId !== undefined) return record.requestId === requestId;
    const time = getTimeMs(record);
    if (time < from || time > until) return false;
    const isOfUpstream = UPSTREAM_EVENTS.has(record.event) &&
      record.upstream !== undefined && upstreams.has(record.upstream);
    return isOfUpstream ||
      (HOST_EVENTS.has(record.event) && hosts.has(record.host));
  };
  return records.filter(isRelated).sort((a, b) => getTimeMs(a) - getTimeMs(b));
}

/** Formats a record as text: time, host, event and the other fields except the level. */
export function formatRecord(record: LogRecord): string {
  const { time, level: _level, host, event, ...fields } = record;
  const formattedFields = Object.entries(fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [time, host, event, ...formattedFields].join(" ");
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}

function getTimeMs(record: LogRecord): Milliseconds {
  return Date.parse(record.time);
}
