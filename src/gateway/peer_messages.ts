/** Messages between gateways, each sent in one datagram. */
import type {
  AdoptedRun,
  PermitAnswer,
  PermitRequest,
} from "../core/admission/admission_controller.ts";
import type { Heartbeat } from "../core/fleet/heartbeat.ts";
import type {
  AllotmentReport,
  AllotmentTotals,
} from "../core/limits/customer_allotments.ts";
import type { OwnershipHandover } from "../core/ordering/engine_owner.ts";
import type { Milliseconds } from "../core/structures.ts";

export type GatewayMessage =
  | { kind: "heartbeat"; heartbeat: Heartbeat }
  | { kind: "permitRequest"; engineId: string; request: PermitRequest }
  | { kind: "permitAnswer"; engineId: string; answer: PermitAnswer }
  /**
   * The run has ended, or the permit is no longer needed. The longest pause
   * between events of the run is known if its route declares an objective for
   * it.
   */
  | {
    kind: "permitReleased";
    engineId: string;
    permitId: string;
    longestPauseMs?: Milliseconds | undefined;
  }
  /** The engine has processed the prompt and produced the first token. */
  | { kind: "firstToken"; engineId: string; permitId: string }
  /**
   * The engine did not run the request, because the adapter's load wasn't
   * complete or the engine lacks the adapter.
   */
  | {
    kind: "permitUnusable";
    engineId: string;
    permitId: string;
    isMisdirected: boolean;
    delayMs: Milliseconds;
    /**
     * How long the engine asked the sender to send it no requests; 0 if it did
     * not ask.
     */
    backoffMs: Milliseconds;
  }
  /**
   * Some of the sender's runs on an engine whose owner has changed. `total`
   * counts all of them, which may be sent in several messages.
   */
  | { kind: "runsHeld"; engineId: string; runs: AdoptedRun[]; total: number }
  | { kind: "handover"; engineId: string; handover: OwnershipHandover }
  /** Tells the coordinator of customers' allotments the rates offered here. */
  | { kind: "allotmentReport"; report: AllotmentReport }
  | { kind: "allotmentTotals"; totals: AllotmentTotals };
