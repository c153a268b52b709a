/** The events of one streamed run, kept so that another connection can take up where the last one was cut. */
import type { Response } from "express";

export class StreamLog {
  readonly #events: string[] = [];
  #response: Response | undefined;
  #detachedAt: number | undefined;
  #isEnded = false;

  /** Whether nobody has read the stream for the given time. */
  isAbandoned(afterMs: number): boolean {
    return this.#detachedAt !== undefined &&
      performance.now() - this.#detachedAt >= afterMs;
  }

  get eventCount(): number {
    return this.#events.length;
  }

  /** Sends the events after the given number, and those that come, to this answer alone. */
  attach(response: Response, after: number): void {
    this.#response?.destroy();
    this.#response = response;
    this.#detachedAt = undefined;
    response.on("close", () => {
      if (this.#response !== response) return;
      this.#response = undefined;
      this.#detachedAt = performance.now();
    });
    for (const event of this.#events.slice(after)) response.write(event);
    if (this.#isEnded) response.end();
  }

  add(event: string): void {
    this.#events.push(event);
    this.#response?.write(event);
  }

  end(): void {
    this.#isEnded = true;
    this.#response?.end();
  }

  /** Cuts the connection, in the midst of an event if some bytes of one are given; returns whether there was one. */
  cutConnection(partialEvent = ""): boolean {
    const response = this.#response;
    if (!response) return false;
    this.#response = undefined;
    this.#detachedAt = performance.now();
    if (partialEvent === "") response.destroy();
    else response.write(partialEvent, () => response.destroy());
    return true;
  }
}
