/**
 * Counters, gauges and latency histograms of the gateway, served in the
 * Prometheus text format.
 */
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Milliseconds } from "../core/structures.ts";
import { listen } from "../daemon/http_server.ts";

/** Upper bounds of the histogram buckets, in milliseconds. */
const LATENCY_BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  200,
  400,
  700,
  1_000,
  2_000,
  5_000,
  15_000,
];

/** Help text of each metric; docs/OPERATIONS.md contains the same table. */
export const GATEWAY_METRICS = {
  requests:
    "Requests accepted for a known route, by kind (idempotent, nonIdempotent, stream)",
  attempts: "Finished attempts at upstreams, by outcome",
  unframed_responses:
    "Responses of upstreams without length or chunks, by outcome of the attempt",
  repeats: "Requests retried, by outcome of the previous attempt",
  refusals: "Requests refused without having run, by reason",
  failures:
    "Failed requests that may have run, by outcome of the last attempt or by reason",
  withheld_responses:
    "Responses of upstreams withheld from callers because their status implies, without a guarantee, that the request has not run, by status",
  callers_gone:
    "Requests whose caller disconnected before the response was complete, by kind (idempotent, nonIdempotent, stream; unread if the close lay unread beside the request)",
  callers_backlogged:
    "Times a streamed response was paused because its caller read too slowly, by kind (always stream)",
  throttled_connections:
    "Connections whose input exceeded its share of a turn of the event loop, by kind (always upstream)",
  connection_malformed:
    "Connections of callers and peers closed after a connection or HTTP parse error, by error code",
  connections_cut:
    "Connections of clients that were closed because of a limit, by reason (idle, full, unread, heldInput)",
  relays: "Requests sent over a peer, by outcome of the attempt",
  relay:
    "Time of a request over a peer, in ms, by kind (idempotent, nonIdempotent, stream)",
  store_restores:
    "Times the store was found restored from an older copy, by set (configuration, upstreams)",
  upstream_notices:
    "Leaving and backoff notices in upstream responses, by notice (leaving, backoff)",
  upstream_connections:
    "Connections used by attempts at upstreams, by kind (kept, noneKept, keptNotAllowed)",
  kept_connection_ends:
    "Kept connections that an upstream ended, by kind (closedIdle, brokenInUse)",
  service_placements:
    "Requests sent to plain services that report their pace, by reason of the choice (fastest, spread, noneFree)",
  slowest_pace_percent:
    "Highest estimated pace of the upstreams of plain services, in percent of the normal time; 0 if none reports its pace",
  peer_datagrams:
    "Datagrams sent to peers, by purpose (message, retransmission, acknowledgement)",
  crash_suspects:
    "Requests without output at upstreams that crashed, by suspicion (likely, possible)",
  crash_trials: "Requests admitted as the trial of a convicted trait (started)",
  held_back_requests:
    "Requests that are held back after several crashes at which they were running",
  customer_turns:
    "Permits granted by turn, before an earlier request of another customer that is as urgent, by kind (always early)",
  allotment_rejections:
    "Requests rejected because their customer has used its quota, by customer (other beyond 200)",
  allotment_messages:
    "Messages about customers' quotas, by message (report, totals)",
  reporting_hosts:
    "Hosts that report customers' rates to this one as their coordinator",
  convicted_traits: "Groups of traits that are convicted of crashing upstreams",
  order_load: "Load orders to engines, by result",
  order_evict: "Eviction orders to engines, by result",
  holder_belief:
    "Changes in the ownership or order state of an engine, by change",
  store_failure:
    "Failed reads from the store, by set (configuration, upstreams)",
  peer_view_failure:
    "Failed reads of a peer's view, by set (configuration, upstreams)",
  peer_messages_dropped: "Datagrams from peers that were dropped, by reason",
  pauses: "Process pauses detected, by detector (process, holder)",
  read_delay:
    "Expected time for which requests lay unread, of those that did, in ms, by kind (always late)",
  first_byte:
    "Time from arrival to the first byte of a streamed response, in ms, by kind (always stream)",
  whole_answer:
    "Time from arrival to the complete response, in ms, by kind (idempotent, nonIdempotent, stream)",
  internal_errors: "Unhandled errors, by step",
  living_daemons: "Gateways known to be alive, including this one",
  upstreams: "Registered upstreams",
  requests_in_flight: "Requests in progress",
  full_speed_fetches:
    "Estimated number of concurrent adapter fetches that the weight store serves at full speed",
  held_engines: "Engines owned by this gateway",
  configuration_version:
    "Version of the active configuration; 0 if there is none",
} as const;
export type GatewayMetric = keyof typeof GATEWAY_METRICS;

/** Counters whose increase is logged beside the processor time. */
const WORK_COUNTERS: ReadonlySet<GatewayMetric> = new Set<GatewayMetric>([
  "requests",
  "upstream_connections",
  "peer_datagrams",
]);

export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter<"reason">>();
  readonly #histograms = new Map<string, Histogram<"kind">>();
  readonly #gauges = new Map<string, Gauge>();
  /** Totals of the counters that summarise the work of the process. */
  readonly #totals = new Map<string, number>();
  #server: Server | undefined;

  /** Returns the totals of the counters in WORK_COUNTERS, by name and reason. */
  describeWork(): Record<string, number> {
    return Object.fromEntries(this.#totals);
  }

  /** Increments a counter, labelled with a reason. */
  count(name: GatewayMetric, reason: string): void {
    let counter = this.#counters.get(name);
    if (!counter) {
      counter = new Counter({
        name: `pistachiohatch_${name}_total`,
        help: GATEWAY_METRICS[name],
        labelNames: ["reason"],
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc({ reason });
    if (!WORK_COUNTERS.has(name)) return;
    const key = `${name}.${reason}`;
    this.#totals.set(key, (this.#totals.get(key) ?? 0) + 1);
  }

  /** Records a duration in a histogram, labelled with the kind of request. */
  measure(name: GatewayMetric, kind: string, durationMs: Milliseconds): void {
    let histogram = this.#histograms.get(name);
    if (!histogram) {
      histogram = new Histogram({
        name: `pistachiohatch_${name}_ms`,
        help: GATEWAY_METRICS[name],
        labelNames: ["kind"],
        buckets: LATENCY_BUCKETS_MS,
        registers: [this.#registry],
      });
      this.#histograms.set(name, histogram);
    }
    histogram.observe({ kind }, durationMs);
  }

  setGauge(name: GatewayMetric, value: number): void {
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({
        name: `pistachiohatch_${name}`,
        help: GATEWAY_METRICS[name],
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    gauge.set(value);
  }

  /**
   * Serves the metrics at `/metrics`.
   * @param limitClients limits what clients of the port take of the process.
   */
  listen(
    address: string,
    limitClients: (server: Server) => void = () => {},
  ): Promise<unknown> {
    const server = createServer((request, response) => {
      if (request.url !== "/metrics") {
        response.writeHead(404).end();
        return;
      }
      void this.#registry.metrics().then((text) => {
        response.setHeader("Content-Type", this.#registry.contentType);
        response.end(text);
      });
    });
    limitClients(server);
    this.#server = server;
    return listen(server, address);
  }

  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
