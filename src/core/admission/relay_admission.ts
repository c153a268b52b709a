/**
 * Bounds the requests that a host serves for peers that are cut off from the
 * upstreams: at most as many at once as its own callers have, so that half of
 * its capacity stays theirs.
 */

/** Relayed requests that are always accepted, on a host with few callers. */
const MIN_RELAYED = 32;

export function canAdmitRelay(
  inFlight: { relayed: number; own: number },
): boolean {
  return inFlight.relayed < Math.max(MIN_RELAYED, inFlight.own);
}
