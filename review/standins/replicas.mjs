/**
 * Stand-ins of sound replicas, after PROTOCOL.md: a plain service with slots
 * and a short queue, and a model replica that takes orders and streams events.
 * Each registers itself in the store and writes there at every heartbeat.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MS = 1_200;

class Replica {
  #store;
  #timer;
  #sockets = new Set();
  #heartbeats = 0;
  state = "ready";
  isDown = false;
  starts = 0;

  constructor({ store, id, service, zone, slots, record }) {
    this.#store = store;
    this.baseId = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.record = record;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => this.#receive(request, chunks, response));
    });
    this.server.keepAliveTimeout = 20_000;
    this.server.on("connection", (socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  async listen(ip) {
    this.ip = ip;
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.port = this.server.address().port;
    this.address = `${ip}:${this.port}`;
    this.begin();
  }

  /** Starts a boot with a new id, empty, and registers it. */
  begin() {
    this.starts += 1;
    this.id = `${this.baseId}-${this.starts}`;
    this.born = Date.now();
    this.reset();
    this.register();
    this.#timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  /**
   * Writes the heartbeat. The entry changes only when more than `seq` does, or
   * when the store has another one.
   */
  register() {
    this.#heartbeats += 1;
    const entry = {
      service: this.service,
      addr: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      born: this.born,
      ...this.describeContents(),
    };
    const key = `servers/${this.id}`;
    const { seq: _seq, ...stored } = this.#store.read(key) ?? {};
    if (JSON.stringify(stored) === JSON.stringify(entry)) return;
    this.#store.put(key, { ...entry, seq: this.#heartbeats });
  }

  /**
   * Crashes: all channels are reset, and new ones refused until it is back. The
   * store removes the entry after three check-in intervals of silence.
   */
  async crash(downMs) {
    if (this.isDown) return;
    this.isDown = true;
    clearInterval(this.#timer);
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const socket of this.#sockets) socket.resetAndDestroy();
    const key = `servers/${this.id}`;
    setTimeout(() => this.#store.remove(key), 3 * HEARTBEAT_MS).unref();
    await closed;
    await sleep(downMs);
    if (this.isStopped) return;
    await new Promise((resolve) =>
      this.server.listen(this.port, this.ip, resolve)
    );
    this.isDown = false;
    this.begin();
  }

  /**
   * Leaves without reporting that it drains: its entry is removed, it goes on
   * serving for the given time, and exits.
   */
  async leave(exitAfterMs) {
    clearInterval(this.#timer);
    this.#store.remove(`servers/${this.id}`);
    this.isLeaving = true;
    await sleep(exitAfterMs);
    this.isDown = true;
    this.isStopped = true;
    this.server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  close() {
    this.isStopped = true;
    clearInterval(this.#timer);
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #receive(request, chunks, response) {
    const { headers } = request;
    const expected = headers["x-expect-instance"];
    const requestId = headers["x-request-id"];
    if (requestId !== undefined) response.setHeader("X-Request-Id", requestId);
    if (expected !== undefined && expected !== this.id) {
      this.addHeaders(response);
      response.writeHead(421, { "X-Not-Run": "1" }).end();
      return;
    }
    this.handle(request, Buffer.concat(chunks).toString(), response);
  }

  addHeaders(response) {
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
  }
}

export class ServiceReplica extends Replica {
  running = 0;
  waiting = [];

  /** @param options.workMs time that a request takes in a slot. */
  constructor(options) {
    super(options);
    this.workMs = options.workMs;
    this.queue = options.queue;
  }

  reset() {
    this.running = 0;
    this.waiting = [];
  }

  describeContents() {
    return {};
  }

  addHeaders(response) {
    super.addHeaders(response);
    response.setHeader(
      "X-Server-Load",
      `${this.running},${this.waiting.length},${this.slots}`,
    );
    if (this.brittleAt !== undefined) {
      response.setHeader("Server-Brittle", String(this.brittle.rejections));
    }
  }

  /**
   * From now on the replica says in all its answers that it is brittle; undefined
   * ends it. A while later it lets fewer wait, and falls over where it has to turn
   * away more requests in a second than it says.
   */
  setBrittle(brittle) {
    this.brittle = brittle;
    this.brittleAt = brittle && performance.now();
    this.rejectedAt = [];
  }

  get queueLimit() {
    return this.#isFragile() ? this.brittle.queue : this.queue;
  }

  #isFragile() {
    return this.brittleAt !== undefined &&
      performance.now() - this.brittleAt >= this.brittle.afterMs;
  }

  #recordRejection() {
    if (!this.#isFragile()) return;
    const now = performance.now();
    this.rejectedAt = this.rejectedAt.filter((at) => now - at < 1_000);
    this.rejectedAt.push(now);
    if (this.rejectedAt.length <= this.brittle.rejections) return;
    this.rejectedAt = [];
    this.record({ kind: "fall", replica: this.id, running: this.running });
    void this.crash(this.brittle.downMs);
  }

  handle(request, _body, response) {
    const work = { request, response, start: this.starts };
    if (this.running < this.slots) this.#run(work);
    else if (this.waiting.length < this.queueLimit) this.waiting.push(work);
    else {
      const { "x-request-id": id } = request.headers;
      this.record({ kind: "turnedAway", id, replica: this.id });
      this.addHeaders(response);
      response.writeHead(503, { "X-Not-Run": "1" }).end();
      this.#recordRejection();
    }
  }

  #run({ request, response, start }) {
    const { headers } = request;
    const id = headers["x-request-id"];
    this.running += 1;
    const run = { kind: "run", id, replica: this.id, service: this.service };
    this.record({ ...run, path: request.url });
    setTimeout(() => {
      if (this.starts !== start || this.isDown) {
        this.record({ kind: "lostInCrash", id, replica: this.id });
        return;
      }
      this.running -= 1;
      if (!response.destroyed) {
        this.addHeaders(response);
        response.writeHead(200, { "X-Response-Stamp": `${this.id}.${id}` });
        response.end(`done by ${this.service}`);
      }
      this.#runNext();
    }, this.workMs);
  }

  #runNext() {
    for (let next = this.waiting.shift(); next; next = this.waiting.shift()) {
      if (next.response.destroyed) continue;
      this.#run(next);
      return;
    }
  }
}

const ADAPTER_LOAD_MS = 250;
const EVENT_GAP_MS = 30;

export class EngineReplica extends Replica {
  adapters = new Map();

  /**
   * @param options.sendBody sends the body of a run in place of events; returns
   * whether it did.
   */
  constructor(options) {
    super(options);
    this.model = options.model;
    this.weightsMb = options.weightsMb;
    this.adapterSlots = options.adapterSlots;
    this.sendBody = options.sendBody ?? (() => false);
    this.events = options.events ?? 10;
    this.firstEventMs = options.firstEventMs ?? 0;
  }

  reset() {
    // The busy model is placed on the replicas at their first start.
    this.hasModel = this.starts === 1;
    this.adapters.clear();
    this.sequence = 0;
    this.runs = 0;
  }

  describeContents() {
    return { stage: "mixed", models: this.#describeModels() };
  }

  #describeModels() {
    if (!this.hasModel) return [];
    const adapters = [...this.adapters]
      .filter(([, { readyAt }]) => readyAt <= Date.now())
      .map(([name, { version }]) => `${name}@${version}`);
    return [{ name: this.model.name, version: 1, adapters }];
  }

  handle(request, body, response) {
    if (request.url === "/-/report") this.#report(response);
    else if (request.url === "/-/order") this.#order(JSON.parse(body), response);
    else this.#run(request, response);
  }

  #report(response) {
    const coming = [...this.adapters]
      .filter(([, { readyAt }]) => readyAt > Date.now())
      .map(([name, { version }]) => `${this.model.name}/${name}@${version}`);
    const report = {
      stage: "mixed",
      models: this.#describeModels(),
      busy: false,
      seq: this.sequence,
      born: this.born,
      waiting: 0,
      running: this.runs,
      kv_used: 0,
      kv_total: 100_000,
      handles: 0,
      coming,
    };
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(JSON.stringify(report));
  }

  #order(order, response) {
    const status = this.#applyOrder(order);
    const { op, adapter, holder, fence, expected } = order;
    this.record({
      kind: "order",
      replica: this.id,
      op,
      adapter,
      holder,
      fence,
      expected,
      status,
      adaptersHeld: this.adapters.size,
      heldMb: this.#countHeldMb(),
      weightsMb: this.weightsMb,
      adapterSlots: this.adapterSlots,
    });
    if (this.#isOverfull()) {
      this.record({ kind: "crash", replica: this.id, runs: this.runs });
      void this.crash(3_000);
      return;
    }
    response.writeHead(status).end();
  }

  #applyOrder({ op, adapter, version, expected }) {
    const held = this.adapters.get(adapter);
    if (op === "load" && adapter === undefined && this.hasModel) return 200;
    if (op === "load" && held) {
      return held.readyAt > Date.now() ? 202 : 200;
    }
    if (op === "unload" && !held) return 200;
    if (expected !== undefined && expected !== this.sequence) return 409;
    this.sequence += 1;
    if (op === "unload") {
      this.adapters.delete(adapter);
      return 200;
    }
    if (adapter === undefined) this.hasModel = true;
    else {
      const readyAt = Date.now() + ADAPTER_LOAD_MS;
      this.adapters.set(adapter, { version: version ?? 1, readyAt });
      setTimeout(() => !this.isDown && this.register(), ADAPTER_LOAD_MS + 5);
    }
    return 202;
  }

  #countHeldMb() {
    const { weights_mb: weightsMb, adapter_mb: adapterMb } = this.model;
    return (this.hasModel ? weightsMb : 0) + this.adapters.size * adapterMb;
  }

  #isOverfull() {
    return this.#countHeldMb() > this.weightsMb ||
      this.adapters.size > this.adapterSlots;
  }

  #run(request, response) {
    const { headers } = request;
    const id = headers["x-request-id"];
    const [, adapter] = String(headers["x-model"] ?? "").split("/");
    const held = this.adapters.get(adapter);
    const isPresent = this.hasModel &&
      (adapter === undefined || (held && held.readyAt <= Date.now()));
    if (!isPresent) {
      this.addHeaders(response);
      response.writeHead(421, { "X-Not-Run": "1" }).end();
      return;
    }
    this.runs += 1;
    response.once("close", () => this.runs -= 1);
    this.record({ kind: "run", id, replica: this.id, model: headers["x-model"] });
    setTimeout(
      () => !response.destroyed && this.#answer(headers, id, response),
      this.firstEventMs,
    );
  }

  #answer(headers, id, response) {
    this.addHeaders(response);
    response.writeHead(200, {
      "X-Response-Stamp": `${this.id}.${id}`,
      "Content-Type": "text/event-stream",
    });
    if (this.sendBody(response, id)) return;
    let event = Number(headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`);
      if (event < this.events) return;
      clearInterval(timer);
      response.end();
    }, EVENT_GAP_MS);
    response.once("close", () => clearInterval(timer));
  }
}
