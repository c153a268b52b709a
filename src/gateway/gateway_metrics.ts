/** Counters and latency histograms of the gateway, as text on the metrics address. */
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Milliseconds } from "../core/structures.ts";

/** Upper bounds of the histograms' buckets, in milliseconds. */
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

export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter<"reason">>();
  readonly #histograms = new Map<string, Histogram<"kind">>();
  readonly #gauges = new Map<string, Gauge>();
  #server: Server | undefined;

  /** Counts one event under a name, and for a reason. */
  count(name: string, reason: string): void {
    let counter = this.#counters.get(name);
    if (!counter) {
      counter = new Counter({
        name: `pistachiohatch_${name}_total`,
        help: `Events of ${name}, by reason`,
        labelNames: ["reason"],
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc({ reason });
  }

  /** Records a time span of a kind of request. */
  measure(name: string, kind: string, spanMs: Milliseconds): void {
    let histogram = this.#histograms.get(name);
    if (!histogram) {
      histogram = new Histogram({
        name: `pistachiohatch_${name}_ms`,
        help: `Time of ${name} in milliseconds, by kind`,
        labelNames: ["kind"],
        buckets: LATENCY_BUCKETS_MS,
        registers: [this.#registry],
      });
      this.#histograms.set(name, histogram);
    }
    histogram.observe({ kind }, spanMs);
  }

  setGauge(name: string, value: number): void {
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({
        name: `pistachiohatch_${name}`,
        help: `Present ${name}`,
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
