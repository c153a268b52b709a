/**
 * Headers by which a gateway tells the peer that relayed a request to it what
 * became of the request. They are set by gateways only, and reach no caller.
 */
import type { IncomingHttpHeaders } from "node:http";
import { stripRawHeaders } from "./raw_headers.ts";

/** What an answer of the gateway itself says about a relayed request. */
export const RelayVerdict = {
  /** It was not run, and another peer could not serve it either. */
  Refused: "refused",
  /** It was not run; another peer may serve it. */
  Unable: "unable",
  MayHaveRun: "may-have-run",
} as const;
export type RelayVerdict = (typeof RelayVerdict)[keyof typeof RelayVerdict];

const VERDICT_HEADER = "x-relay-verdict";
/** Id of the upstream that answered. */
const UPSTREAM_HEADER = "x-relay-upstream";
const RELAY_HEADERS: ReadonlySet<string> = new Set([
  VERDICT_HEADER,
  UPSTREAM_HEADER,
]);

export function encodeRelayVerdict(verdict: RelayVerdict): string[] {
  return [VERDICT_HEADER, verdict];
}

export function encodeRelayUpstream(upstreamId: string): string[] {
  return [UPSTREAM_HEADER, upstreamId];
}

/** Returns the verdict; undefined in the answer of an upstream. */
export function decodeRelayVerdict(
  headers: IncomingHttpHeaders,
): RelayVerdict | undefined {
  const text = headers[VERDICT_HEADER];
  return Object.values(RelayVerdict).find((verdict) => verdict === text);
}

export function decodeRelayUpstream(
  headers: IncomingHttpHeaders,
): string | undefined {
  return headers[UPSTREAM_HEADER]?.toString();
}

export function stripRelayHeaders(rawHeaders: readonly string[]): string[] {
  return stripRawHeaders(rawHeaders, RELAY_HEADERS);
}
