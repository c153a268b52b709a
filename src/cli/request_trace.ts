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
  customer: z.string().optional(),
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

/** Events of a customer that can affect all its requests at a host. */
const CUSTOMER_EVENTS: ReadonlySet<string> = new Set(["allotmentExceeded"]);

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
  const customers = new Set(
    ownRecords.flatMap(({ customer }) => customer ?? []),
  );
  const isRelated = (record: LogRecord): boolean => {
    if (record.requestId !== undefined) return record.requestId === requestId;
    const time = getTimeMs(record);
    if (time < from || time > until) return false;
    const isOfUpstream = UPSTREAM_EVENTS.has(record.event) &&
      record.upstream !== undefined && upstreams.has(record.upstream);
    const isOfCustomer = CUSTOMER_EVENTS.has(record.event) &&
      record.customer !== undefined && customers.has(record.customer);
    return isOfUpstream || isOfCustomer ||
      (HOST_EVENTS.has(record.event) && hosts.has(record.host));
  };
  return records.filter(isRelated).sort((a, b) => getTimeMs(a) - getTimeMs(b));
}

const refusalSchema = z.object({
  time: z.iso.datetime(),
  host: z.string(),
  configurationVersion: z.number(),
});
const unauthorizedSchema = refusalSchema.extend({
  status: z.literal(401),
  /** Absent in the records of the previous release. */
  key: z.enum(["missing", "unknown"]).default("unknown"),
});
const overQuotaSchema = refusalSchema.extend({
  status: z.literal(429),
  customer: z.string(),
  cost: z.number(),
  unit: z.string(),
  ratePerS: z.number(),
  burst: z.number(),
});
const inForceSchema = z.object({
  event: z.enum(["configurationInForce", "deferredConfigurationInForce"]),
  time: z.iso.datetime(),
  host: z.string(),
  version: z.number(),
  versionInForce: z.number().optional(),
});

/** Returns, one a line, why the request got 401 or 429; empty if it got neither. */
export function explainRefusals(
  records: readonly LogRecord[],
  requestId: string,
): string[] {
  return records
    .filter((record) => record.requestId === requestId)
    .flatMap((record) => {
      const unauthorized = unauthorizedSchema.safeParse(record).data;
      if (unauthorized) {
        const { host, key } = unauthorized;
        const cause = key === "missing"
          ? "it has no key, or an empty one,"
          : "no customer holds its key";
        return `${host} answered 401: ${cause} by ${
          describeVersion(records, unauthorized)
        }`;
      }
      const overQuota = overQuotaSchema.safeParse(record).data;
      if (!overQuota) return [];
      const { host, customer, cost, unit, ratePerS, burst } = overQuota;
      return `${host} answered 429: customer ${customer} has used its quota of ${ratePerS} ${unit} per second, burst ${burst}, and the request costs ${cost}, by ${
        describeVersion(records, overQuota)
      }`;
    });
}

/**
 * Describes the configuration that a refusal went by: since when the host had
 * it, and the hosts that had a later version then.
 */
function describeVersion(
  records: readonly LogRecord[],
  refusal: z.infer<typeof refusalSchema>,
): string {
  const { host, time, configurationVersion } = refusal;
  const inForce = records
    .flatMap((record) => inForceSchema.safeParse(record).data ?? [])
    .filter((each) => Date.parse(each.time) <= Date.parse(time))
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
    .map((each) => ({ ...each, version: each.versionInForce ?? each.version }));
  const last = inForce.findLast((each) =>
    each.host === host && each.version !== configurationVersion
  );
  const since = inForce.find((each) =>
    each.host === host && each.version === configurationVersion &&
    (!last || Date.parse(each.time) >= Date.parse(last.time))
  );
  const ahead = new Set(
    inForce.filter((each) =>
      each.host !== host && each.version > configurationVersion
    ).map((each) => each.host),
  );
  return `configuration ${configurationVersion}` +
    (since ? `, in force there since ${since.time}` : "") +
    (ahead.size > 0
      ? `; ${[...ahead].sort().join(", ")} had a later version`
      : "");
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
