// Stand-ins for replicas: model engines and plain services, as PROTOCOL.md describes them.
import { createServer } from "node:http";

export class Replica {
  runs = [];
  orders = [];
  #server = createServer((request, response) => this.#handle(request, response));
  #seq = 0;
  #adapters = new Map();
  running = 0;

  /** options: id, ip, service, zone, slots, engine (bool), model, run(request, response, body) */
  constructor(options) {
    this.options = options;
    this.id = options.id;
    this.born = Date.now();
    this.beats = 0;
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, this.options.ip, 1024, resolve));
    this.address = `${this.options.ip}:${this.#server.address().port}`;
  }

  /** Ends as a process that crashes: all its connections are closed, and new ones are refused. */
  fall() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Starts again under the same id and address, empty. */
  comeBack() {
    this.born = Date.now();
    this.beats = 0;
    this.#seq = 0;
    this.#adapters.clear();
    this.running = 0;
    const [ip, port] = this.address.split(":");
    this.#server.listen(Number(port), ip);
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #listAdapters(isLoading) {
    const now = Date.now();
    return [...this.#adapters].filter(([, { readyAt }]) => (readyAt > now) === isLoading)
      .map(([name, { version }]) => `${name}@${version}`);
  }

  describe(state = "ready") {
    const { service, zone, slots, engine, model } = this.options;
    this.beats += 1;
    return {
      service, addr: this.address, zone, version: "1", slots, state, cold_left_ms: 0, seq: this.beats,
      born: this.born,
      ...(engine ? { stage: "mixed", models: [{ name: model, version: 1, adapters: this.#listAdapters(false) }] } : {}),
    };
  }

  get loadHeader() {
    const { slots } = this.options;
    return `${Math.min(this.running, slots)},${Math.max(0, this.running - slots)},${slots}`;
  }

  #handle(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    request.on("end", () => this.#answer(request, response, Buffer.concat(chunks)));
  }

  #answer(request, response, body) {
    const expected = request.headers["x-expect-instance"];
    const id = request.headers["x-request-id"];
    const echo = id === undefined ? {} : { "X-Request-Id": id };
    const send = (status, headers, text = "") => {
      response.writeHead(status, { ...echo, "X-Server-Load": this.loadHeader, ...headers });
      response.end(text);
    };
    if (expected !== undefined && expected !== this.id) {
      return send(421, { "X-Instance-Id": this.id });
    }
    if (request.url === "/healthz") return send(200, { "X-Instance-Id": this.id });
    if (request.url === "/-/report") {
      return send(200, { "Content-Type": "application/json" }, JSON.stringify({
        stage: "mixed", busy: false, seq: this.#seq, born: this.born, waiting: 0, running: this.running,
        models: [{ name: this.options.model, version: 1, adapters: this.#listAdapters(false) }],
        coming: this.#listAdapters(true).map((each) => `${this.options.model}/${each}`),
        kv_used: 0, kv_total: 200_000, handles: 0,
      }));
    }
    if (request.url === "/-/order") return this.#order(JSON.parse(body.toString()), send);
    const adapter = request.headers["x-model"]?.split("/")[1];
    if (this.options.engine && adapter !== undefined) {
      const held = this.#adapters.get(adapter);
      if (held === undefined) return send(421, {});
      if (held.readyAt > Date.now()) return send(503, { "X-Not-Run": "1" });
    }
    this.options.run(this, request, response, { body, echo, send });
  }

  #order(order, send) {
    const known = this.#adapters.get(order.adapter);
    let status = 202;
    if (order.op === "load" && order.adapter === undefined) status = 200;
    else if (order.op === "load" && known) status = 200;
    else if (order.op === "unload" && !known) status = 200;
    else if (order.expected !== undefined && order.expected !== this.#seq) status = 409;
    if (status === 202) {
      this.#seq += 1;
      if (order.op === "load") this.#adapters.set(order.adapter, { version: order.version ?? 1, readyAt: Date.now() + 250 });
      else {
        this.#adapters.delete(order.adapter);
        status = 200;
      }
    }
    this.orders.push({ at: Date.now(), ...order, status });
    send(status, {}, "");
  }
}
