/**
 * Builds heartbeats for tests, by default of a daemon that knows no other
 * member and owns no engine.
 */
import type {
  FleetMember,
  Heartbeat,
} from "../../../src/core/fleet/heartbeat.ts";

export function buildHeartbeat(
  sender: FleetMember,
  part: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    sender,
    incarnation: "1",
    beat: 1,
    isLeaving: false,
    hasStore: true,
    revisions: { configuration: 0, upstreams: 0 },
    heldEngines: [],
    fetchesInFlight: 0,
    fenceUnixMs: 0,
    sample: [],
    strikes: [],
    ...part,
  };
}
