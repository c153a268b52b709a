/**
 * Gathers from gateways' logs what bears on one request: its own lines, what was
 * believed and ordered of the upstreams that they name, and what befell the hosts
 * that handled it, in the order of time.
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

/** A line of a gateway's log. */
export type LogRecord = z.infer<typeof recordSchema>;

/** Time before a request's first line in which the cause of its fate may lie: a term and the time to notice a death. */
const LOOK_BACK_MS = 5_000;
/** Time after its last line in which what was decided may show. */
const LOOK_AHEAD_MS = 500;
/** Events of upstreams that bear on the requests there. */
const UPSTREAM_EVENTS: ReadonlySet<string> = new Set([
  "engineBelief",
  "orderGiven",
  "reportUnread",
  "upstreamChanged",
  "upstreamGone",
  "upstreamLapsed",
]);
/** Events of hosts that bear on all their requests. */
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

/** Reads one line, which may have a prefix before its JSON; undefined when it is no log line. */
export function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return recordSchema.safeParse(JSON.parse(line.slice(start))).data;
  } catch {
    // Other programs may write to the same file; what is no JSON is no log line.
    return undefined;
  }
}

/** Returns the records that bear on the request, oldest first; none when it is not named. */
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

/** Returns a record as text: time, host, event and the other fields. */
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
