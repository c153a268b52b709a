// Stand-in for the platform's store: range reads and watches by prefix, as PROTOCOL.md describes them.
import { createServer } from "node:http";

const HISTORY = 10_000;

export class Store {
  #items = new Map();
  #events = [];
  #revision = 100;
  #watches = new Set();
  #era = 1;
  #isDown = false;
  #server = createServer((request, response) => this.#handle(request, response));

  async start(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  put(key, value) {
    this.#revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const created = this.#items.get(key)?.create_rev ?? this.#revision;
    const item = { key, value: text, rev: this.#revision, create_rev: created, lease: 0 };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    this.#revision += 1;
    this.#items.delete(key);
    this.#record({ key, rev: this.#revision, removed: true });
  }

  /** Returns a copy from which the store can be restored. */
  copy() {
    return { items: new Map(this.#items), events: [...this.#events], revision: this.#revision };
  }

  /** Goes away: calls are reset, those that wait too. */
  leave() {
    this.#isDown = true;
    this.#server.closeAllConnections();
  }

  /** Comes back from a copy. */
  restore({ items, events, revision }) {
    this.#items = new Map(items);
    this.#events = [...events];
    this.#revision = revision;
    this.#era += 1;
    this.#isDown = false;
  }

  #record(event) {
    this.#events.push(event);
    if (this.#events.length > HISTORY) this.#events.shift();
    for (const watch of this.#watches) watch();
  }

  #handle(request, response) {
    if (this.#isDown) return request.socket.resetAndDestroy();
    const url = new URL(request.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    const answer = (status, body) => {
      if (response.writableEnded) return;
      response.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.#era) });
      response.end(JSON.stringify({ ...body, as_of: this.#revision }));
    };
    if (url.pathname === "/-/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      answer(200, { items: items.slice(0, 500), truncated: items.length > 500 });
      return;
    }
    if (url.pathname !== "/-/kv-watch") return answer(404, {});
    const since = Number(url.searchParams.get("after"));
    if (since > this.#revision) return answer(410, {});
    const list = () =>
      this.#events.filter(({ key, rev }) => key.startsWith(prefix) && rev > since);
    const finish = () => {
      clearTimeout(timer);
      this.#watches.delete(check);
      answer(200, { events: list() });
    };
    const check = () => list().length > 0 && finish();
    const timer = setTimeout(finish, Number(url.searchParams.get("wait_ms")));
    this.#watches.add(check);
    response.on("close", () => {
      clearTimeout(timer);
      this.#watches.delete(check);
    });
    check();
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
