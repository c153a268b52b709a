// What all scripts share: a small deployment's configuration, its store and replicas, callers, and the record.
import { appendFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { fileURLToPath } from "node:url";
import { Replica } from "./replica.mjs";
import { Store } from "./store.mjs";
import { waitMs } from "./gateway.mjs";

export const HOST = "mill.example";
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const LIMITS = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 };
/** An engine service of sites/feedline-tas.toml. */
export const ENGINE = {
  slots: 96, kv_capacity: 183499, adapter_slots: 8, weights_mb: 35300,
  models: [{ name: "m0", weights_mb: 34300, load_s: 0.6, adapters: 3000, adapter_mb: 40 }],
};

export function createRoute(name, kind, service, overrides = {}) {
  return {
    name, kind, service, host: HOST, prefix: `/${name}/`, timeout_ms: 1000, target_latency_ms: 193,
    priority: 2, attempts: 1, resumable: false, ...overrides,
  };
}

export function createConfiguration(version, services, routes) {
  return { version, limits: LIMITS, services, routes };
}

export class Record {
  #path;
  #startedAt = Date.now();
  /** scriptUrl: the script in whose folder the record is written. */
  constructor(scriptUrl) {
    this.#path = fileURLToPath(new URL("record.txt", scriptUrl));
    writeFileSync(this.#path, `TROUBLE=${HAS_TROUBLE ? 1 : 0}\n`);
  }
  add(text) {
    const line = `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}`;
    appendFileSync(this.#path, `${line}\n`);
  }
  say(text) {
    this.add(text);
    console.log(text);
  }
}

/** The platform of one case: a store with a configuration, and registered replicas. */
export class Platform {
  store = new Store();
  replicas = [];
  #beat;

  async start({ services, routes, replicas }) {
    await this.store.start("127.0.0.1");
    this.store.put("op/config", createConfiguration(3, services, routes));
    for (const options of replicas) {
      const replica = new Replica({ ip: "127.0.0.1", zone: "zone-a", slots: 6, ...options });
      await replica.start();
      this.replicas.push(replica);
    }
    this.#register();
    this.#beat = setInterval(() => this.#register(), 1200);
  }

  #register() {
    for (const replica of this.replicas) {
      const entry = replica.describe();
      // An entry changes only when more than its heartbeat number does.
      const content = JSON.stringify({ ...entry, seq: 0 });
      if (content === replica.registered) continue;
      replica.registered = content;
      this.store.put(`servers/${replica.id}`, entry);
    }
  }

  stop() {
    clearInterval(this.#beat);
    this.store.stop();
    for (const replica of this.replicas) replica.stop();
  }
}

export function createService(name, engine) {
  return { name, health_path: "/healthz", max_conns: engine ? 500 : 110, ...(engine ? { engine } : {}) };
}

/** Answers a plain request after workMs. */
export function createPlainRun(workMs, onRun = () => {}) {
  return async (replica, request, response, { echo, body }) => {
    onRun(replica, request, body);
    replica.running += 1;
    await waitMs(workMs);
    replica.running -= 1;
    response.writeHead(200, { ...echo, "X-Server-Load": replica.loadHeader, "X-Response-Stamp": `${replica.id}.${echo["X-Request-Id"]}` });
    response.end("x".repeat(800));
  };
}

/** Answers with a stream of events. */
export function createStreamRun(events, gapMs, onRun = () => {}) {
  return async (replica, request, response, { echo, body }) => {
    onRun(replica, request, body);
    let isClosed = false;
    replica.running += 1;
    response.on("close", () => {
      isClosed = true;
      replica.running -= 1;
    });
    response.writeHead(200, {
      ...echo, "X-Response-Stamp": `${replica.id}.${echo["X-Request-Id"]}`,
      "Content-Type": "text/event-stream", "X-Weight-Versions": "1",
    });
    for (let event = 1; event <= events && !isClosed; event += 1) {
      await waitMs(gapMs);
      response.write(`id: ${event}\ndata: token\n\n`);
    }
    response.end();
  };
}

/** Sends one ordinary request on a connection of its own; resolves to its outcome. */
export function call(gateway, path, { id, method = "GET", headers = {}, deadlineMs = 5000, body } = {}) {
  const startedAt = Date.now();
  return new Promise((resolve) => {
    const finish = (outcome) => {
      clearTimeout(timer);
      resolve({ id, ms: Date.now() - startedAt, ...outcome });
    };
    const client = request({
      host: gateway.ip, port: gateway.ports.front, path, method, agent: false,
      headers: { Host: HOST, "X-Request-Id": id, "X-Deadline-Ms": String(deadlineMs), ...headers },
    }, (response) => {
      let bytes = 0;
      response.on("data", (chunk) => bytes += chunk.length);
      response.on("end", () => finish({ status: response.statusCode, headers: response.headers, bytes }));
      response.on("error", () => finish({ status: response.statusCode, error: "cut in the answer" }));
    });
    const timer = setTimeout(() => {
      finish({ error: "no answer in time" });
      client.destroy();
    }, deadlineMs);
    client.on("error", (error) => finish({ error: error.code ?? error.message }));
    client.end(body);
  });
}
