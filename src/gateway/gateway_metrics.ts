/**
 * Counters, gauges and latency histograms of the gateway, served in the
 * Prometheus text format.
 */
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Milliseconds } from "../core/structures.ts";

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
  requests: "Callers' requests on known routes, by kind",
  attempts: "Attempts at upstreams, by outcome",
  repeats: "Requests sent to another upstream, by the outcome before",
  refusals: "Requests refused as not run, by reason",
  failures: "Requests that may have run and failed, by outcome",
  callers_gone: "Callers that left before their whole answer, by kind",
  callers_backlogged:
    "Streams that waited for a slow caller to read on, by kind",
  upstream_notices:
    "Answers in which an upstream says that it leaves or backs off",
  order_load: "Loads ordered, by how the engine answered",
  order_evict: "Evictions ordered, by how the engine answered",
  holder_belief: "Changes of what is believed of an engine, by change",
  store_failure: "Readings of the store that failed, by set",
  peer_view_failure: "Readings of a peer's view that failed, by set",
  peer_messages_dropped: "Datagrams of peers that were dropped, by reason",
  pauses: "Pauses of the process that were noticed",
  first_byte: "Time from arrival to the first byte of a stream, in ms, by kind",
  whole_answer: "Time from arrival to the whole answer, in ms, by kind",
  internal_errors: "Errors that no handler expected, by step",
  living_daemons: "Gateways that live as far as is known",
  upstreams: "Upstreams registered",
  requests_in_flight: "Callers' requests in progress",
  full_speed_fetches:
    "Loads from the weight store that go at full speed together, as estimated",
  held_engines: "Engines whose orders this gateway gives",
  configuration_version: "Version of the configuration in force",
} as const;
export type GatewayMetric = keyof typeof GATEWAY_METRICS;

export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter<"reason">>();
  readonly #histograms = new Map<string, Histogram<"kind">>();
  readonly #gauges = new Map<string, Gauge>();
  #server: Server | undefined;

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

  /** Serves the metrics at `/metrics`. */
  listen(host: string, port: number): Promise<void> {
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
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
