/** Number of descriptors that this process may open, and the shares of its ports. */
import { readFileSync } from "node:fs";

/** Taken where the limit can't be read: the usual soft limit. */
const UNKNOWN_DESCRIPTOR_LIMIT = 1_024;
/** Share of the descriptors that explicit settings may give to callers. */
const MAX_CALLER_SHARE = 0.5;
/**
 * Share of each port's connections in the descriptors. What they and the
 * upstreams leave is for peers, the store and files.
 */
const PORT_SHARES = {
  callers: 7 / 16,
  relays: 1 / 16,
  peers: 1 / 32,
  readiness: 1 / 64,
  metrics: 1 / 64,
  operators: 1 / 16,
} as const;
/**
 * Share of connections to upstreams, of those that may be kept and of the
 * others each: hundreds on the smallest machine, where sites need some tens.
 */
const UPSTREAM_SHARE = 3 / 16;
/**
 * Most connections of each port where descriptors are plenty: memory binds then.
 */
const MAX_PORT_CONNECTIONS = {
  callers: 2_000,
  relays: 500,
  peers: 128,
  readiness: 64,
  metrics: 64,
  operators: 128,
} as const;
const MIN_PORT_CONNECTIONS = 8;

/**
 * Share of connections from other daemons at the peers' port of a daemon: 276 of
 * the smallest machine's 2,212 descriptors. The daemons of a failure domain (82)
 * and those with links to it from ten others need some 120.
 */
const DAEMON_PEER_SHARE = 1 / 8;

export type LimitedPort = keyof typeof PORT_SHARES;

/** Reads the limit, which Node.js raises to the hard limit when it starts. */
export function readDescriptorLimit(): number {
  try {
    const text = readFileSync("/proc/self/limits", "utf8");
    const limit = Number(/^Max open files\s+(\d+)/m.exec(text)?.[1]);
    return limit > 0 ? limit : UNKNOWN_DESCRIPTOR_LIMIT;
  } catch {
    return UNKNOWN_DESCRIPTOR_LIMIT;
  }
}

/** Returns how many connections a port accepts where no setting says so. */
export function computeMaxConnections(
  port: LimitedPort,
  descriptorLimit: number,
): number {
  const share = Math.floor(PORT_SHARES[port] * descriptorLimit);
  return Math.max(
    MIN_PORT_CONNECTIONS,
    Math.min(MAX_PORT_CONNECTIONS[port], share),
  );
}

/**
 * Returns how many connections a daemon accepts from others: the lower of the
 * setting and the share of its descriptors.
 */
export function computeMaxPeerConnections(
  setting: number,
  descriptorLimit: number,
): number {
  const share = Math.floor(DAEMON_PEER_SHARE * descriptorLimit);
  return Math.min(setting, Math.max(MIN_PORT_CONNECTIONS, share));
}

/** Returns how many connections of either kind lead to upstreams. */
export function computeMaxUpstreamConnections(descriptorLimit: number): number {
  return Math.max(
    MIN_PORT_CONNECTIONS,
    Math.floor(UPSTREAM_SHARE * descriptorLimit),
  );
}

/** Returns the most caller connections that a setting may ask for. */
export function computeMaxCallerSetting(descriptorLimit: number): number {
  return Math.floor(MAX_CALLER_SHARE * descriptorLimit);
}
