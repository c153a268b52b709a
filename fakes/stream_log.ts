/**
 * Events of one streamed run, kept so that another connection can resume the
 * stream.
 */
import type { Response } from "express";

export class StreamLog {
  readonly #events: string[] = [];
  #response: Response | undefined;
  #detachedAt: number | undefined;
  #isComplete = false;

  /** Returns whether the stream has had no reader for the given time. */
  isAbandoned(afterMs: number): boolean {
    return this.#detachedAt !== undefined &&
      performance.now() - this.#detachedAt >= afterMs;
  }

  get eventCount(): number {
    return this.#events.length;
  }

  /**
   * Sends the events after the given number, and all later ones, to this
   * response, and closes the previous one.
   */
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
    if (this.#isComplete) response.end();
  }

  add(event: string): void {
    this.#events.push(event);
    this.#response?.write(event);
  }

  end(): void {
    this.#isComplete = true;
    this.#response?.end();
  }

  /**
   * Closes the connection, after the bytes of a partial event if given. Returns
   * false if there was no connection.
   */
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
