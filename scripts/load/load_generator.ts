/**
 * Open-loop load generator: sends streamed requests as a Poisson process of the
 * given rate, whether or not earlier requests have been answered.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { sendCall } from "../caller.ts";
import { LoadReport } from "./load_report.ts";

export interface LoadOptions {
  addresses: readonly string[];
  token: string;
  routes: readonly string[];
  /**
   * Zipf exponent of the routes' popularity; the first route is the most
   * popular.
   */
  zipf: number;
  /** Mean number of requests per second. */
  rate: number;
  seconds: number;
  /**
   * Maximum number of requests in flight; those due beyond it are counted as
   * not sent.
   */
  maxInFlight: number;
  seed: number;
}

const MS_PER_SECOND = 1_000;

export class LoadGenerator {
  readonly #options: LoadOptions;
  readonly #random: RandomGenerator;
  readonly #weights: number[];
  readonly #report = new LoadReport();
  readonly #inFlight = new Set<Promise<void>>();

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.#weights = options.routes.map((_, index) =>
      1 / (index + 1) ** options.zipf
    );
  }

  /**
   * Sends requests for the set time, waits for all answers and returns the
   * report.
   */
  async run(): Promise<LoadReport> {
    const { rate, seconds, maxInFlight } = this.#options;
    const endsAt = performance.now() + seconds * MS_PER_SECOND;
    let dueAt = performance.now();
    while (dueAt < endsAt) {
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      if (this.#inFlight.size >= maxInFlight) this.#report.recordNotSent();
      else this.#start(dueAt);
      const sample = 1 - uniformFloat64(this.#random);
      dueAt += -Math.log(sample) / rate * MS_PER_SECOND;
    }
    await Promise.all(this.#inFlight);
    return this.#report;
  }

  #start(dueAt: number): void {
    const { addresses } = this.#options;
    const index = Math.floor(uniformFloat64(this.#random) * addresses.length);
    const address = addresses[index] ?? "";
    const request = this.#send(address, this.#selectRoute(), dueAt);
    this.#inFlight.add(request);
    void request.finally(() => this.#inFlight.delete(request));
  }

  /**
   * Sends one request. Latency to the first token counts from the time at which
   * the request was due, so that a delay in sending it is included.
   */
  async #send(address: string, model: string, dueAt: number): Promise<void> {
    this.#report.recordSent();
    let lastAt: number | undefined;
    try {
      const answer = await sendCall({
        address,
        token: this.#options.token,
        body: { model, stream: true, messages: [] },
        onText: (text) => {
          if (text.startsWith("{")) return;
          const now = performance.now();
          if (lastAt === undefined) this.#report.recordFirstToken(now - dueAt);
          else this.#report.recordBetweenTokens(now - lastAt);
          lastAt = now;
        },
      });
      if (answer.refusal) this.#report.recordRefusal(answer.refusal.reason);
      this.#report.recordOutcome(
        answer.refusal?.outcome ?? (answer.isWhole ? "completed" : "cut"),
      );
    } catch {
      this.#report.recordOutcome("unreachable");
    }
  }

  #selectRoute(): string {
    const total = this.#weights.reduce((sum, weight) => sum + weight, 0);
    let remainingWeight = uniformFloat64(this.#random) * total;
    const index = this.#weights.findIndex((weight) => {
      remainingWeight -= weight;
      return remainingWeight < 0;
    });
    return this.#options.routes.at(index) ?? "";
  }
}
