/**
 * What the cases share: the configuration, clients that keep their channels
 * open, and the record of what was sent, answered and run.
 */
import { writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import process from "node:process";

export const HOST = "review.example";

export class CaseRecord {
  #lines = [];
  #startedAt = performance.now();
  entries = [];

  /** Milliseconds since the start of the case. */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  add = (entry) => {
    const timed = { atMs: this.now, ...entry };
    this.entries.push(timed);
    this.#lines.push(JSON.stringify(timed));
    return timed;
  };

  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

export function buildRoute(name, kind, service, overrides = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 1_000,
    target_latency_ms: 200,
    gap_aim_ms: 300,
    priority: 1,
    attempts: kind === "safe" ? 2 : 1,
    resumable: false,
    sticky: kind === "stream",
    ...overrides,
  };
}

export function buildConfiguration(version, routes, services) {
  return {
    version,
    routes,
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Clients of one gateway, which keep their channels open between requests. */
export class Clients {
  #gateway;
  #record;
  #agent;
  #count = 0;

  constructor(gateway, record, maxSockets = Infinity) {
    this.#gateway = gateway;
    this.#record = record;
    this.#agent = new Agent({ keepAlive: true, maxSockets, timeout: 15_000 });
  }

  close() {
    this.#agent.destroy();
  }

  /** Sends one request; resolves to its answer or to how its channel ended. */
  call(path, {
    deadlineMs = 1_000,
    headers = {},
    method = "POST",
    body = "",
    id = `${this.#gateway.name}.${this.#count += 1}`,
  }) {
    return new Promise((resolve) => {
      let isKept = false;
      const sent = this.#record.add({ kind: "sent", id, path });
      const settle = (end) => {
        clearTimeout(timer);
        resolve(this.#record.add({
          kind: "answered",
          id,
          path,
          gateway: this.#gateway.name,
          isKept,
          elapsedMs: this.#record.now - sent.atMs,
          ...end,
        }));
      };
      const call = request({
        host: this.#gateway.ip,
        port: this.#gateway.port,
        path,
        method,
        agent: this.#agent,
        headers: {
          Host: HOST,
          "X-Request-Id": id,
          "X-Deadline-Ms": String(deadlineMs),
          "Content-Length": String(body.length),
          ...headers,
        },
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => {});
        response.on("close", () =>
          settle({
            status: response.statusCode,
            isComplete: response.complete,
            bytes: text.length,
            stamp: response.headers["x-response-stamp"],
            retryAfter: response.headers["retry-after"],
          }));
      });
      const timer = setTimeout(() => {
        settle({ gaveUp: true });
        call.destroy();
      }, deadlineMs + 1_000);
      call.on("socket", () => isKept = call.reusedSocket);
      call.on("error", (error) => settle({ closed: error.code }));
      call.end(body);
    });
  }
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 * @param play plays the case; returns what broke the rule, as lines.
 */
export async function runCase(recordPath, play) {
  const record = new CaseRecord();
  const isTrouble = process.env.TROUBLE !== "0";
  const cleanups = [];
  let status = 2;
  const limit = setTimeout(() => finish(2), 115_000);
  const finish = (code) => {
    for (const cleanup of cleanups.reverse()) cleanup();
    record.write(recordPath);
    process.exit(code);
  };
  process.on("SIGTERM", () => finish(2));
  process.on("SIGINT", () => finish(2));
  try {
    const { broken, summary } = await play({
      record,
      isTrouble,
      onEnd: (cleanup) => cleanups.push(cleanup),
    });
    record.add({ kind: "result", isTrouble, broken, ...summary });
    console.log(JSON.stringify({ isTrouble, broken, ...summary }, null, 1));
    status = broken ? 1 : 0;
  } catch (error) {
    record.add({ kind: "cannotRun", detail: String(error?.stack ?? error) });
    console.error(error);
  }
  clearTimeout(limit);
  finish(status);
}
