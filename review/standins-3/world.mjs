/**
 * Stand-ins for a small deployment on loopback addresses: the platform's store,
 * plain replicas, model replicas, clients behind a balancer, and the gateways of
 * the deploy file as separate processes. Only Node.js's own modules are used.
 */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import dgram from "node:dgram";
import {
  appendFileSync,
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

export const root = resolve(import.meta.dirname, "../..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const startedAt = performance.now();
export const seconds = () => (performance.now() - startedAt) / 1_000;

/** Seeded random numbers (mulberry32), so that the same requests are sent each time. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** The record of a run: what was sent, answered and run. */
export class Record {
  #path;
  #lines = [];
  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }
  add(...words) {
    this.#lines.push(`${seconds().toFixed(3).padStart(8)} ${words.join(" ")}\n`);
    if (this.#lines.length >= 500) this.flush();
  }
  flush() {
    appendFileSync(this.#path, this.#lines.join(""));
    this.#lines = [];
  }
}

function tryListen(ip, port) {
  return new Promise((done) => {
    const server = net.createServer();
    server.once("error", () => done(undefined));
    server.listen(port, ip, () => {
      const taken = server.address().port;
      server.close(() => done(taken));
    });
  });
}

function tryBind(ip, port) {
  return new Promise((done) => {
    const socket = dgram.createSocket("udp4");
    socket.once("error", () => done(false));
    socket.bind(port, ip, () => socket.close(() => done(true)));
  });
}

/** Returns a port that is free at all addresses, over TCP and UDP. */
export async function findPort(ips) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const port = await tryListen(ips[0], 0);
    if (port === undefined) continue;
    const isFree = await Promise.all(ips.map(async (ip) =>
      await tryListen(ip, port) !== undefined && await tryBind(ip, port)
    ));
    if (isFree.every(Boolean)) return port;
  }
  throw new Error("no free port");
}

/** How long the store keeps its history; the sheets have 20 s. */
const HISTORY_MS = 20_000;

/** The platform's store, which the gateways only read. */
export class Store {
  #items = new Map();
  #history = [];
  /** Latest revision that is no longer in the history. */
  #oldestRev = 0;
  #rev = 100;
  #waiting = new Set();
  #sockets = new Set();
  #silent = new WeakSet();
  #server;
  /** Calls on new channels since the others went silent, and the bytes sent on them. */
  answered = { calls: 0, bytes: 0 };
  address = "";

  async start(ip) {
    this.#server = http.createServer((request, response) =>
      this.#answer(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    await new Promise((done) => this.#server.listen(0, ip, done));
    this.address = `${ip}:${this.#server.address().port}`;
  }
  put(key, value) {
    this.#rev += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      rev: this.#rev,
      create_rev: this.#items.get(key)?.create_rev ?? this.#rev,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#publish(item);
  }
  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#rev += 1;
    this.#publish({ key, rev: this.#rev, removed: true });
  }
  /** All open channels go silent for good, without a reset; new ones work. */
  silenceChannels() {
    for (const socket of this.#sockets) this.#silent.add(socket);
    this.answered = { calls: 0, bytes: 0 };
    return this.#sockets.size;
  }
  #dropHistory() {
    const now = performance.now();
    while (this.#history.length > 0 && now - this.#history[0].at > HISTORY_MS) {
      this.#oldestRev = this.#history.shift().event.rev;
    }
  }
  #publish(event) {
    this.#dropHistory();
    this.#history.push({ event, at: performance.now() });
    for (const wake of this.#waiting) wake();
  }
  #send(response, status, body) {
    if (this.#silent.has(response.req.socket)) return;
    const text = JSON.stringify(body);
    this.answered.calls += 1;
    this.answered.bytes += text.length;
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    response.end(text);
  }
  #answer(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const prefix = query.get("prefix") ?? "";
    switch (url.pathname) {
      case "/-/kv-key": {
        const item = this.#items.get(query.get("key"));
        if (item) this.#send(response, 200, { ...item, as_of: this.#rev });
        else this.#send(response, 404, { as_of: this.#rev });
        return;
      }
      case "/-/kv-range": {
        const after = query.get("after") ?? "";
        const all = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = all.slice(0, 500);
        this.#send(response, 200, {
          items,
          truncated: items.length < all.length,
          as_of: this.#rev,
        });
        return;
      }
      case "/-/kv-watch": {
        const after = Number(query.get("after"));
        this.#dropHistory();
        if (after < this.#oldestRev) {
          this.#send(response, 410, {});
          return;
        }
        const list = () =>
          this.#history.map(({ event }) => event).filter(({ key, rev }) =>
            rev > after && key.startsWith(prefix)
          );
        const finish = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          this.#send(response, 200, { events: list(), as_of: this.#rev });
        };
        const wake = () => {
          if (list().length > 0) finish();
        };
        const timer = setTimeout(finish, Number(query.get("wait_ms")) || 0);
        this.#waiting.add(wake);
        response.once("close", () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
        });
        wake();
        return;
      }
      default:
        this.#send(response, 404, {});
    }
  }
}

/** What all replicas have in common: registration, crash and restart, channels. */
class Replica {
  constructor(options) {
    Object.assign(this, options); // store, record, service, zone, ip, id
    this.boots = 0;
    this.beats = 0;
    this.sockets = new Set();
    this.isUp = false;
  }
  async start() {
    this.boots += 1;
    this.id = `${this.name}-${this.boots}`;
    this.born = Date.now();
    this.reset();
    this.server = http.createServer((request, response) =>
      this.receive(request, response)
    );
    this.server.keepAliveTimeout = 30_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(this.port ?? 0, this.ip, done);
    });
    this.port = this.server.address().port;
    this.isUp = true;
    this.register();
    this.timer = setInterval(() => this.register(), 1_200);
  }
  /** Checks in; the entry changes when more than the number of check-ins does. */
  register() {
    this.beats += 1;
    const entry = {
      service: this.service,
      addr: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      cold_left_ms: 0,
      born: this.born,
      ...this.describe(),
    };
    const text = JSON.stringify([this.id, entry]);
    if (text === this.registered) return;
    this.registered = text;
    this.store.put(`servers/${this.id}`, { ...entry, seq: this.beats });
  }
  /** The process dies: its channels are reset, its entry lapses, it comes back. */
  crash(reason, downMs) {
    if (!this.isUp) return;
    this.isUp = false;
    this.record.add("replica", this.id, "falls over:", reason);
    clearInterval(this.timer);
    const { id } = this;
    setTimeout(() => this.store.remove(`servers/${id}`), 3_600);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.end();
    setTimeout(() => {
      if (!this.isOver) void this.start();
    }, downMs);
  }
  stop() {
    this.isOver = true;
    this.isUp = false;
    clearInterval(this.timer);
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
  /** Reads the body; resolves to undefined if the channel closes before. */
  readBody(request) {
    return new Promise((done) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.once("end", () => done(Buffer.concat(chunks)));
      request.once("close", () => done(undefined));
    });
  }
}

/** A replica of a plain service, with slots and a queue. */
export class PlainReplica extends Replica {
  reset() {
    this.running = new Set();
    this.waiting = [];
    this.rejectedAt = [];
  }
  describe() {
    return {};
  }
  end() {
    for (const run of [...this.running, ...this.waiting]) {
      clearTimeout(run.timer);
      const wasRunning = this.running.has(run);
      this.record.add("replica", this.id, wasRunning ? "loses the run of" : "loses (waiting)", run.id);
      this.onLost?.(run.id, wasRunning);
    }
  }
  get load() {
    return `${this.running.size},${this.waiting.length},${this.slots}`;
  }
  get headers() {
    return {
      "X-Server-Load": this.load,
      "X-Instance-Id": this.id,
      ...(this.brittle ? { "Server-Brittle": String(this.brittle.limit) } : {}),
    };
  }
  async receive(request, response) {
    const id = request.headers["x-request-id"];
    const expected = request.headers["x-expect-instance"];
    if (request.url === "/healthz") {
      response.writeHead(200, this.headers).end();
      return;
    }
    const body = await this.readBody(request);
    if (body === undefined || !this.isUp) return;
    const echo = { ...this.headers, ...(id ? { "X-Request-Id": id } : {}) };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echo, "X-Not-Run": "1" }).end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { ...echo, "X-Not-Run": "1" }).end();
      return;
    }
    const from = request.socket.remoteAddress;
    this.onArrival?.(id, from);
    this.sendStray(request.socket, id);
    const queue = this.brittle ? this.brittle.queue : this.queue;
    if (this.running.size >= this.slots && this.waiting.length >= queue) {
      this.record.add("replica", this.id, "rejects", id, "from", from);
      response.writeHead(503, { ...echo, "X-Not-Run": "1" }).end();
      this.reject();
      return;
    }
    const run = { id, response, deadlineAt: Date.now() + Number(request.headers["x-deadline-ms"] ?? 1e9) };
    response.once("close", () => this.drop(run));
    this.waiting.push(run);
    this.begin();
  }
  /** Sends bytes that belong to no request where the next answer is expected. */
  sendStray(socket, id) {
    if (!socket.strayBytes) return;
    socket.write(socket.strayBytes);
    socket.strayBytes = undefined;
    this.record.add("replica", this.id, "sends additional bytes on the channel of", id);
    this.onStray?.(id);
  }
  reject() {
    const now = performance.now();
    this.rejectedAt = this.rejectedAt.filter((at) => now - at < 1_000);
    this.rejectedAt.push(now);
    if (!this.brittle || now < this.brittle.effectiveAt) return;
    const { limit } = this.brittle;
    if (this.rejectedAt.length <= limit) return;
    this.onFall?.(this);
    this.crash(`${this.rejectedAt.length} requests turned away in a second, ${limit} allowed`, 3_000);
  }
  drop(run) {
    clearTimeout(run.timer);
    const index = this.waiting.indexOf(run);
    if (index >= 0) this.waiting.splice(index, 1);
    if (this.running.delete(run)) this.begin();
  }
  begin() {
    while (this.isUp && this.running.size < this.slots && this.waiting.length > 0) {
      const run = this.waiting.shift();
      if (Date.now() >= run.deadlineAt) {
        run.response.writeHead(503, { ...this.headers, "X-Request-Id": run.id, "X-Not-Run": "1" }).end();
        continue;
      }
      this.running.add(run);
      this.record.add("replica", this.id, "runs", run.id);
      this.onRun?.(run.id);
      run.timer = setTimeout(() => {
        if (!this.isUp) return;
        this.running.delete(run);
        if (this.failsAfterRun?.()) {
          this.record.add("replica", this.id, "has run", run.id, "and fails: 503 without X-Not-Run");
          run.response.writeHead(503, { ...this.headers, "X-Request-Id": run.id }).end("temporarily unavailable");
          this.begin();
          return;
        }
        run.response.writeHead(200, {
          ...this.headers,
          "X-Request-Id": run.id,
          "X-Response-Stamp": `stamp.${this.id}.${run.id}`,
          "Content-Type": "application/octet-stream",
        }).end(`done ${run.id} `.padEnd(800, "."));
        this.onAnswer?.(run.id, run.response.socket);
        this.begin();
      }, this.workMs);
    }
  }
}

/** A model replica with adapters. Loads nothing but what it is ordered to. */
export class ModelReplica extends Replica {
  reset() {
    this.models = this.boots === 1 && !this.startsEmpty ? new Set([this.model.name]) : new Set();
    this.adapters = new Map(); // name -> "loading" | "present"
    this.draining = new Set();
    this.seq = 0;
    this.isBusy = false;
    this.runs = new Set();
  }
  listModels() {
    return [...this.models].map((name) => ({
      name,
      version: 1,
      adapters: [...this.adapters].filter(([, state]) => state === "present")
        .map(([adapter]) => `${adapter}@1`),
    }));
  }
  listComing() {
    return [...this.adapters].filter(([, state]) => state === "loading")
      .map(([adapter]) => `${this.model.name}/${adapter}@1`);
  }
  describe() {
    return { stage: "mixed", models: this.listModels() };
  }
  get usedMb() {
    return (this.models.size > 0 ? this.model.weights_mb : 0) +
      this.adapters.size * this.model.adapter_mb;
  }
  end() {
    for (const run of this.runs) {
      clearTimeout(run.timer);
      this.record.add("replica", this.id, "loses the run of", run.id);
      this.onLost?.(run.id);
    }
  }
  async receive(request, response) {
    const body = await this.readBody(request);
    if (body === undefined || !this.isUp) return;
    const id = request.headers["x-request-id"];
    const expected = request.headers["x-expect-instance"];
    const echo = { "X-Instance-Id": this.id, ...(id ? { "X-Request-Id": id } : {}) };
    const isForOther = expected !== undefined && expected !== this.id;
    if (isForOther) {
      response.writeHead(421, { ...echo, "X-Not-Run": "1" }).end();
      return;
    }
    if (request.url === "/healthz") {
      response.writeHead(200, echo).end();
      return;
    }
    if (request.url === "/-/report") {
      this.sendJson(response, 200, {
        stage: "mixed",
        models: this.listModels(),
        coming: this.listComing(),
        busy: this.isBusy,
        seq: this.seq,
        born: this.born,
        waiting: 0,
        running: this.runs.size,
        kv_used: 0,
        kv_total: 183_499,
        handles: 0,
      });
      return;
    }
    if (request.url === "/-/order") {
      this.order(JSON.parse(body.toString()), response, request.socket.remoteAddress);
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { ...echo, "X-Not-Run": "1" }).end();
      return;
    }
    const [model, adapter] = (request.headers["x-model"] ?? "").split("/");
    const isPresent = this.models.has(model) &&
      (adapter === undefined || this.adapters.get(adapter) === "present");
    if (!isPresent) {
      response.writeHead(421, { ...echo, "X-Not-Run": "1" }).end();
      return;
    }
    this.onArrival?.(id, body);
    this.run(id, adapter, response, body);
  }
  sendJson(response, status, body) {
    response.writeHead(status, {
      "Content-Type": "application/json",
      "X-Instance-Id": this.id,
    });
    response.end(body === undefined ? "" : JSON.stringify(body));
  }
  order(order, response, from) {
    const { op, model, adapter, expected, holder, fence } = order;
    const answer = (status) => {
      this.onOrder?.({ ...order, status });
      this.record.add("order at", this.id, `${op} ${model}${adapter ? `/${adapter}` : ""}`,
        `holder=${holder} fence=${fence} from ${from}: ${status}`);
      this.sendJson(response, status);
    };
    if (holder === undefined || fence === undefined || model !== this.model.name) return answer(400);
    // What is on its way counts as there, for models as for adapters.
    const has = adapter === undefined ? this.models.has(model) || this.isBusy : this.adapters.has(adapter);
    if (op === "load" ? has : !has) return answer(200);
    if (this.isBusy) return answer(409);
    if (expected !== undefined && expected !== this.seq) return answer(409);
    if (op === "load" && adapter !== undefined) {
      const coming = this.listComing().length;
      if (!this.models.has(model) || coming >= 4) return answer(409);
      const neededMb = this.usedMb + this.model.adapter_mb;
      if (neededMb > this.limits.weights_mb || this.adapters.size >= this.limits.adapter_slots) {
        this.record.add("order at", this.id, `load ${model}/${adapter}`, `holder=${holder} from ${from}:`,
          `would need ${neededMb} of ${this.limits.weights_mb} MB, and`,
          `${this.adapters.size + 1} of ${this.limits.adapter_slots} places`);
        this.onOverload?.(this, neededMb);
        this.crash("ordered to load more than it holds", 3_000);
        return;
      }
      this.seq += 1;
      this.adapters.set(adapter, "loading");
      const { boots } = this;
      setTimeout(() => {
        if (this.boots === boots && this.adapters.has(adapter)) {
          this.adapters.set(adapter, "present");
        }
      }, 250);
      return answer(202);
    }
    this.seq += 1;
    if (op === "load") {
      this.isBusy = true;
      const { boots } = this;
      setTimeout(() => {
        if (this.boots !== boots) return;
        this.isBusy = false;
        this.models.add(model);
      }, 600);
      return answer(202);
    }
    if (adapter === undefined) {
      this.models.clear();
      this.adapters.clear();
      return answer(202);
    }
    const isUsed = [...this.runs].some((run) => run.adapter === adapter);
    if (!isUsed) {
      this.adapters.delete(adapter);
      return answer(200);
    }
    this.draining.add(adapter);
    return answer(202);
  }
  run(id, adapter, response, body) {
    const run = { id, adapter, response };
    this.runs.add(run);
    this.record.add("replica", this.id, "runs", id, adapter ?? "");
    this.onRun?.(id);
    const finish = () => {
      clearTimeout(run.timer);
      if (!this.runs.delete(run)) return;
      const isUsed = [...this.runs].some((each) => each.adapter === adapter);
      if (this.draining.has(adapter) && !isUsed) {
        this.draining.delete(adapter);
        this.adapters.delete(adapter);
      }
    };
    response.once("close", finish);
    let made = 0;
    const step = () => {
      if (!this.isUp) return;
      if (made === 0 && this.isDeadly?.(body)) {
        this.crash(`it begins to answer ${id}`, 3_000);
        return;
      }
      made += 1;
      if (made === 1) {
        response.writeHead(200, {
          "Content-Type": "text/event-stream",
          "X-Request-Id": id,
          "X-Instance-Id": this.id,
          "X-Response-Stamp": `stamp.${this.id}.${id}`,
          "X-Weight-Versions": "1",
        });
      }
      response.write(`id: ${made}\ndata: ${id} ${made}\n\n`);
      if (made < this.events) run.timer = setTimeout(step, this.eventMs);
      else {
        finish();
        response.end();
      }
    };
    run.timer = setTimeout(step, 60);
  }
}

/** Fills in the settings template of the deploy file, as DEPLOY.md defines it. */
export function renderTemplate(text, fields) {
  const find = (path) =>
    path.split(".").reduce((value, key) => value?.[key], fields);
  return text
    .replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, path, inner) =>
      find(path) === undefined || find(path) === false ? "" : inner)
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
      const value = find(path);
      if (value === undefined) return "";
      return isJson ? JSON.stringify(value) : String(value);
    });
}

/** The gateways: one process a machine, restarted when it ends. */
export class Fleet {
  machines = [];
  #folder = mkdtempSync(join(tmpdir(), "review-3-"));
  #isOver = false;

  /**
   * @param zones the zone of each machine, in order.
   * @param seedIps addresses of the seeds; the first three machines if undefined.
   */
  async start({ zones, store, bounds, net: prefix, record, seedIps }) {
    this.record = record;
    const ips = zones.map((_, index) => `${prefix}.1.${index + 1}`);
    const ports = {
      front: await findPort(ips),
      ready: await findPort(ips),
      control: await findPort(ips),
      peers: await findPort(ips),
    };
    const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const role = (key) => new RegExp(`^${key} = "(.*)"$`, "m").exec(deploy)[1];
    const template = readFileSync(join(root, role("template")), "utf8");
    this.command = role("run").split(" ");
    mkdirSync(join(this.#folder, "logs"));
    this.machines = zones.map((zone, index) => {
      const ip = ips[index];
      const name = `front-${zone}-${index + 1}`;
      const settingsPath = join(this.#folder, `${name}.yaml`);
      writeFileSync(settingsPath, renderTemplate(template, {
        node_name: name,
        zone,
        listen: {
          front: `${ip}:${ports.front}`,
          ready: `${ip}:${ports.ready}`,
          control: `${ip}:${ports.control}`,
        },
        port_range: [ports.peers, ports.peers],
        seeds: (seedIps ?? ips.slice(0, 3)).map((seed) => `${seed}:${ports.control}`),
        platform: { addr: store.address },
        bounds,
      }));
      return {
        name, zone, ip, settingsPath,
        front: { host: ip, port: ports.front },
        ready: { host: ip, port: ports.ready },
        isReady: false,
        misses: 2,
        ends: 0,
      };
    });
    for (const machine of this.machines) this.#spawn(machine);
    this.poll = setInterval(() => this.#pollReadiness(), 1_000);
    this.#pollReadiness();
  }
  #spawn(machine) {
    const log = openSync(join(this.#folder, "logs", `${machine.name}.log`), "a");
    const [program, ...args] = this.command;
    machine.child = spawn(program, args, {
      cwd: root,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        PISTACHIOHATCH_NODE_FILE: machine.settingsPath,
      },
    });
    closeSync(log);
    machine.child.once("exit", (code, signal) => {
      if (this.#isOver) return;
      machine.ends += 1;
      this.record.add("process of", machine.name, "ended:", code ?? signal);
      setTimeout(() => !this.#isOver && this.#spawn(machine), 500);
    });
  }
  kill(machine, signal) {
    this.record.add("signal", signal, "to", machine.name);
    machine.child.kill(signal);
  }
  #pollReadiness() {
    for (const machine of this.machines) {
      const miss = () => {
        machine.misses += 1;
        if (machine.misses >= 2) machine.isReady = false;
      };
      const call = http.get({ ...machine.ready, path: "/-/readyz", timeout: 900, agent: false });
      call.once("timeout", () => call.destroy());
      call.once("error", miss);
      call.once("response", (response) => {
        response.resume();
        if (response.statusCode !== 200) return miss();
        machine.misses = 0;
        machine.isReady = true;
      });
    }
  }
  async waitUntilReady(timeoutMs) {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
      if (this.machines.every(({ isReady }) => isReady)) return true;
      await sleep(100);
    }
    return false;
  }
  /** Returns the machine for a new channel, as the balancer picks it. */
  pick(key) {
    const ready = this.machines.filter(({ isReady }) => isReady);
    const from = ready.length * 2 >= this.machines.length ? ready : this.machines;
    return from[Math.floor(key * from.length) % from.length];
  }
  readLog(machine) {
    return readFileSync(join(this.#folder, "logs", `${machine.name}.log`), "utf8");
  }
  stop() {
    this.#isOver = true;
    clearInterval(this.poll);
    for (const { child } of this.machines) child?.kill("SIGKILL");
    if (process.env.KEEP_LOGS) console.log("logs:", this.#folder);
    else rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Sends one client attempt on a new channel; resolves to how it ended:
 * a status with the whole body, or `closed`, `timeout`.
 */
export function sendRequest(machine, { method, path, host, headers, body, deadlineMs, id }) {
  return new Promise((done) => {
    let status = 0;
    let text = "";
    let stamp;
    let retryAfterMs;
    const finish = (kind) => {
      clearTimeout(timer);
      call.on("error", () => {});
      call.destroy();
      done({ kind, status, text, stamp, retryAfterMs });
    };
    const call = http.request({
      ...machine.front,
      method,
      path,
      agent: false,
      headers: {
        Host: host,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(deadlineMs),
        ...headers,
        ...(body ? { "Content-Length": String(Buffer.byteLength(body)) } : {}),
      },
    });
    const timer = setTimeout(() => finish("timeout"), deadlineMs);
    call.on("error", () => finish("closed"));
    call.on("response", (response) => {
      status = response.statusCode;
      stamp = response.headers["x-response-stamp"];
      const seconds = Number(response.headers["retry-after"]);
      retryAfterMs = Number.isFinite(seconds) ? seconds * 1_000 : undefined;
      response.setEncoding("utf8");
      response.on("data", (chunk) => text += chunk);
      response.on("error", () => finish("closed"));
      response.on("aborted", () => finish("closed"));
      response.on("end", () => finish(response.complete ? "answered" : "closed"));
    });
    call.end(body);
  });
}

export const createId = () => randomBytes(8).toString("hex");

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(folder, body) {
  const record = new Record(folder);
  const hasTrouble = process.env.TROUBLE !== "0";
  const stoppers = [];
  const end = (code) => {
    for (const stop of stoppers.reverse()) {
      try {
        stop();
      } catch (error) {
        record.add("while stopping:", error);
      }
    }
    record.add("exit status", code);
    record.flush();
    process.exit(code);
  };
  process.once("SIGTERM", () => end(2));
  process.once("SIGINT", () => end(2));
  process.on("uncaughtException", (error) => {
    console.error(error);
    record.add("could not run:", error.stack);
    end(2);
  });
  const limit = setTimeout(() => {
    record.add("could not run: time limit");
    end(2);
  }, 115_000);
  limit.unref();
  try {
    end(await body({ record, hasTrouble, onEnd: (stop) => stoppers.push(stop) }));
  } catch (error) {
    console.error(error);
    record.add("could not run:", error.stack);
    end(2);
  }
}
