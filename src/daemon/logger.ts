/** Logs JSON lines (one object per line) to standard output by way of loglevel. */
import process from "node:process";
import loglevel from "loglevel";
import { LOG_LEVELS, type LogLevel } from "../settings/log_level.ts";

/** Fields of a log line; errors name the step that failed and the peer involved. */
export interface LogFields {
  step?: string;
  peer?: string;
  [field: string]: unknown;
}

export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  setLevel(level: LogLevel): void;
  getLevel(): string;
}

/** Creates the logger of one daemon; `host` is its id. */
export function createLogger(host: string, level: LogLevel): Logger {
  const log = loglevel.getLogger(host);
  log.methodFactory = (methodName) => (message: string, fields?: LogFields) => {
    const line = {
      time: new Date().toISOString(),
      level: methodName,
      host,
      message,
      ...fields,
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  };
  log.setLevel(level, false);
  return {
    debug: (message, fields) => log.debug(message, fields),
    info: (message, fields) => log.info(message, fields),
    warn: (message, fields) => log.warn(message, fields),
    error: (message, fields) => log.error(message, fields),
    setLevel: (next) => log.setLevel(next, false),
    getLevel: () => LOG_LEVELS[log.getLevel()],
  };
}
