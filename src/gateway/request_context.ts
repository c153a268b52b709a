/** The objects that the parts of the gateway share to serve requests. */
import type { FleetView } from "../core/fleet/fleet_view.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { CrashAttribution } from "../core/limits/crash_attribution.ts";
import type { RequestCrashHistory } from "../core/limits/request_crash_history.ts";
import type { FleetRetryBudget } from "../core/limits/fleet_retry_budget.ts";
import type { AdapterDemand } from "../core/placement/adapter_demand.ts";
import type { DomainReachability } from "../core/placement/domain_reachability.ts";
import type { UpstreamBackoff } from "../core/placement/upstream_backoff.ts";
import type { ServiceLoads } from "../core/placement/service_loads.ts";
import type { UpstreamHealth } from "../core/placement/upstream_health.ts";
import type { UnconfirmedCrashes } from "../core/limits/unconfirmed_crashes.ts";
import type {
  PublishedUpstream,
  PublishedView,
} from "../core/view/published_view.ts";
import type { AllotmentTask } from "./allotment_task.ts";
import type { CrashProbe } from "./crash_probe.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { EngineTask } from "./engine_task.ts";
import type { EventLoopMonitor } from "../daemon/event_loop_monitor.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { HeaderCodec } from "./ports.ts";
import type { UpstreamPath } from "./upstream_path.ts";
import type { UpstreamClient } from "./upstream_client.ts";

export interface RequestContext {
  selfId: string;
  failureDomain: string;
  headerCodec: HeaderCodec;
  view: PublishedView;
  fleet: FleetView;
  health: UpstreamHealth;
  backoff: UpstreamBackoff;
  reachability: DomainReachability;
  path: UpstreamPath;
  /** Port at which every peer accepts relayed requests. */
  relayPort: number;
  demand: AdapterDemand;
  memory: MemoryBudget;
  retryBudget: FleetRetryBudget;
  allotments: AllotmentTask;
  crashAttribution: CrashAttribution;
  crashHistory: RequestCrashHistory;
  crashProbe: CrashProbe;
  unconfirmedCrashes: UnconfirmedCrashes<PublishedUpstream>;
  /**
   * Tells peers, and the requests in progress here, of a crash or of a
   * conviction that has ended.
   */
  notifyCrashes: () => void;
  /** Called when a trait or a request may have been convicted of crashing upstreams. */
  convictionListeners: Set<() => void>;
  serviceLoads: ServiceLoads;
  upstreams: UpstreamClient;
  engines: EngineTask;
  eventLoop: EventLoopMonitor;
  log: DecisionLog;
  metrics: GatewayMetrics;
}
