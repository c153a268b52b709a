/**
 * Selects the peer that a request is relayed to while this host is cut off from
 * the upstreams of its service: one that accepts relays and reaches them, of the
 * same failure domain if there is one. Requests spread over the peers by hash.
 */
import type { FleetMember, Heartbeat } from "../fleet/heartbeat.ts";
import { findRendezvousWinner } from "../hashing.ts";

export interface RelayRequest {
  requestId: string;
  service: string;
  /** Failure domain of this host. */
  failureDomain: string;
  /** Peers that were tried for this request. */
  excludedPeerIds: ReadonlySet<string>;
}

/** Returns whether a request for the service may be relayed to the sender. */
export function canRelay(heartbeat: Heartbeat, service: string): boolean {
  return heartbeat.acceptsRelays === true && !heartbeat.isLeaving &&
    !heartbeat.cutOffServices?.includes(service);
}

/** @param heartbeats the last heartbeats of the peers that are alive. */
export function selectRelay(
  request: RelayRequest,
  heartbeats: readonly Heartbeat[],
): FleetMember | undefined {
  const peers = heartbeats
    .filter((heartbeat) => canRelay(heartbeat, request.service))
    .map(({ sender }) => sender)
    .filter(({ id }) => !request.excludedPeerIds.has(id));
  const local = peers.filter((peer) =>
    peer.failureDomain === request.failureDomain
  );
  return findRendezvousWinner(
    request.requestId,
    local.length > 0 ? local : peers,
  );
}
