/**
 * Structured log lines on standard output, one JSON object each, over loglevel.
 * Lines are gathered and written together; beyond the bound of a period they are
 * dropped and counted, so that a flood of decisions neither blocks nor grows.
 */
import process from "node:process";
import loglevel from "loglevel";
import type { LogLevel } from "../settings/log_level.ts";
import type { Milliseconds } from "../core/structures.ts";

/** Time for which lines are gathered. */
const FLUSH_INTERVAL_MS = 250;
/** Bytes written in one period at most; about 640 KB a second. */
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

  /** Something ordinary that is only wanted when looking closely. */
  debug(event: string, fields: object): void {
    this.#log.debug(event, fields);
  }

  /** A decision, or a change of what the process believes. */
  info(event: string, fields: object): void {
    this.#log.info(event, fields);
  }

  /** Something that should not happen, though it is provided for. */
  warn(event: string, fields: object): void {
    this.#log.warn(event, fields);
  }

  /** Writes what is gathered. */
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

/** Returns a time span rounded for the log. */
export function roundMs(durationMs: Milliseconds): number {
  return Math.round(durationMs * 10) / 10;
}
