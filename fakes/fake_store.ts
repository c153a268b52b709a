/**
 * Fake weight store: rate-limited, and slower above a number of concurrent
 * loads.
 */
import { FakeServer, waitMs } from "./fake_server.ts";

export interface StoreFaults {
  /** Number of upcoming loads that fail. */
  failLoads: number;
}

export interface FakeStoreOptions {
  loadsPerSecond: number;
  loadTimeMs: number;
  /**
   * Number of concurrent loads above which each load slows down in proportion.
   */
  maxInFlight: number;
}

export class FakeStore extends FakeServer<StoreFaults> {
  loads = 0;
  inFlight = 0;
  peakInFlight = 0;
  #nextStartAt = 0;

  constructor(options: FakeStoreOptions) {
    super({ failLoads: 0 });
    this.app.get("/adapters/:key", async (request, response) => {
      if (this.faults.failLoads > 0) {
        this.faults.failLoads -= 1;
        response.status(500).json({ error: "load failed" });
        return;
      }
      this.loads += 1;
      this.inFlight += 1;
      this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
      const now = performance.now();
      const startAt = Math.max(now, this.#nextStartAt);
      this.#nextStartAt = startAt + 1_000 / options.loadsPerSecond;
      const slowdown = Math.max(1, this.inFlight / options.maxInFlight);
      await waitMs(startAt - now + options.loadTimeMs * slowdown);
      this.inFlight -= 1;
      response.json({ adapter: request.params["key"] });
    });
    this.app.get("/history", (_request, response) => {
      response.json({ loads: this.loads, peakInFlight: this.peakInFlight });
    });
  }
}
