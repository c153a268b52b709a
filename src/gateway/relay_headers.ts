/**
 * Headers by which a gateway tells the peer to which it relays a request whose
 * request it is, and by which that peer tells what became of it. They are set by gateways only, and reach no caller.
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
/** Name of the customer for whom the request is relayed, percent-encoded. */
const CUSTOMER_HEADER = "x-relay-customer";
const RELAY_HEADERS: ReadonlySet<string> = new Set([
  VERDICT_HEADER,
  UPSTREAM_HEADER,
  CUSTOMER_HEADER,
]);

export function encodeRelayCustomer(name: string): string[] {
  return [CUSTOMER_HEADER, encodeURIComponent(name)];
}

/** Returns undefined for a request that is relayed for no customer. */
export function decodeRelayCustomer(
  headers: IncomingHttpHeaders,
): string | undefined {
  const text = headers[CUSTOMER_HEADER]?.toString();
  if (text === undefined) return undefined;
  try {
    return decodeURIComponent(text);
  } catch {
    // Not written by a gateway: the text names no customer.
    return text;
  }
}

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
