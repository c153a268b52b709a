/** Messages between gateways, one datagram each. */
import type {
  AdoptedRun,
  PermitAnswer,
  PermitRequest,
} from "../core/admission/admission_controller.ts";
import type { Heartbeat } from "../core/fleet/heartbeat.ts";
import type { OwnershipHandover } from "../core/ordering/engine_owner.ts";
import type { Milliseconds } from "../core/structures.ts";

export type GatewayMessage =
  | { kind: "heartbeat"; heartbeat: Heartbeat }
  | { kind: "permitRequest"; engineId: string; request: PermitRequest }
  | { kind: "permitAnswer"; engineId: string; answer: PermitAnswer }
  /** The run is over, or the place is no longer wanted. */
  | { kind: "permitReleased"; engineId: string; permitId: string }
  /** The engine has read the prompt. */
  | { kind: "firstToken"; engineId: string; permitId: string }
  /** The engine did not run the request: its load was not done, or it lacks the adapter. */
  | {
    kind: "permitUnusable";
    engineId: string;
    permitId: string;
    isMisdirected: boolean;
    delayMs: Milliseconds;
    /** Time for which the engine wants no request of the sender, 0 when it named none. */
    backoffMs: Milliseconds;
  }
  /** Some of the runs, `total` in all, that the sender has at an engine whose holder has changed. */
  | { kind: "runsHeld"; engineId: string; runs: AdoptedRun[]; total: number }
  | { kind: "handover"; engineId: string; handover: OwnershipHandover };
