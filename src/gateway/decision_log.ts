/**
 * Structured logging to standard output over loglevel, one JSON object per
 * line. Lines are buffered and flushed periodically. Lines beyond the byte
 * limit of a flush are dropped and counted, so that a burst of decisions
 * neither blocks the process nor grows its memory.
 */
import process from "node:process";
import loglevel from "loglevel";
import type { LogLevel } from "../settings/log_level.ts";
import type { Milliseconds } from "../core/structures.ts";

/** Time from the first buffered line to the flush. */
const FLUSH_INTERVAL_MS = 250;
/** Most bytes buffered for one flush; about 640 KB a second. */
const MAX_BYTES_PER_FLUSH = 160 * 1024;

export class DecisionLog {
  readonly #log: loglevel.Logger;
  readonly #host: string;
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #isBlocked = false;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(host: string, level: LogLevel) {
    this.#host = host;
    this.#log = loglevel.getLogger(`gateway:${host}`);
    this.#log.methodFactory = (methodName) => (event: string, fields: object) =>
      this.#add(methodName, event, fields);
    this.#log.setLevel(level, false);
  }

  setLevel(level: LogLevel): void {
    this.#log.setLevel(level, false);
  }

  /** Logs a routine event that is needed only for debugging. */
  debug(event: string, fields: object): void {
    this.#log.debug(event, fields);
  }

  /**
   * Logs a decision, or a change of this process's view of other components.
   */
  info(event: string, fields: object): void {
    this.#log.info(event, fields);
  }

  /** Logs an unexpected condition that the process handles. */
  warn(event: string, fields: object): void {
    this.#log.warn(event, fields);
  }

  /** Writes the buffered lines, unless standard output signals backpressure. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isBlocked) return;
    if (this.#dropped > 0) {
      this.#lines.push(this.#format("warn", "logLinesDropped", {
        count: this.#dropped,
      }));
      this.#dropped = 0;
    }
    const text = this.#lines.join("");
    this.#lines = [];
    this.#bytes = 0;
    if (text === "") return;
    this.#isBlocked = !process.stdout.write(text);
    if (!this.#isBlocked) return;
    process.stdout.once("drain", () => {
      this.#isBlocked = false;
      this.#schedule();
    });
  }

  #add(level: string, event: string, fields: object): void {
    const line = this.#format(level, event, fields);
    if (this.#bytes + line.length > MAX_BYTES_PER_FLUSH) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    this.#schedule();
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  #format(level: string, event: string, fields: object): string {
    const time = new Date().toISOString();
    const line = { time, level, host: this.#host, event, ...fields };
    return `${JSON.stringify(line)}\n`;
  }
}

/** Rounds a duration to a tenth of a millisecond, for the log. */
export function roundMs(durationMs: Milliseconds): number {
  return Math.round(durationMs * 10) / 10;
}
