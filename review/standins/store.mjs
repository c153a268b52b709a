/**
 * Stand-in of the platform's store, after PROTOCOL.md: linearizable range reads
 * and watches over HTTP/1.1, one revision counter, and the drill of the users'
 * sixth letter, in which the store comes back from a copy some seconds old.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

export class Store {
  #items = new Map();
  /** Changes in their order, for the watches. */
  #history = [];
  #revision = 100;
  #era = 1;
  #isAway = false;
  #watches = new Set();
  #servers = [];

  get revision() {
    return this.#revision;
  }

  async listen(ip) {
    this.address = await this.listenView(ip, new Map());
  }

  /**
   * Opens a further address, at which replicas have the addresses of the links
   * through which the reader reaches them.
   */
  async listenView(ip, links) {
    const server = createServer((request, response) =>
      this.#handle(request, response, links)
    );
    this.#servers.push(server);
    await new Promise((resolve) => server.listen(0, ip, resolve));
    return `${ip}:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Returns the value of a key; undefined if there is none. */
  read(key) {
    const value = this.#items.get(key)?.value;
    return value && JSON.parse(Buffer.from(value, "base64").toString());
  }

  /** Writes a value and returns its revision; undefined while the store is away. */
  put(key, value) {
    const text = JSON.stringify(value);
    return this.#record(key, Buffer.from(text).toString("base64"));
  }

  remove(key) {
    return this.#record(key, undefined);
  }

  #record(key, value) {
    if (this.#isAway) return undefined;
    this.#revision += 1;
    const created = this.#items.get(key)?.create_rev ?? this.#revision;
    const item = value === undefined
      ? { key, rev: this.#revision, removed: true }
      : { key, value, rev: this.#revision, create_rev: created, lease: 0 };
    if (value === undefined) this.#items.delete(key);
    else this.#items.set(key, item);
    this.#history.push(item);
    this.#notify();
    return this.#revision;
  }

  /** Returns a copy of what the store has acknowledged so far. */
  copy() {
    return {
      revision: this.#revision,
      items: new Map(this.#items),
      history: [...this.#history],
    };
  }

  /** Waits until the watches of replicas' entries have waited for so long. */
  async untilWatchesWaited(waitMs) {
    const endsAt = performance.now() + 6_000;
    while (performance.now() < endsAt) {
      const waits = [...this.#watches].filter(({ prefix }) => prefix !== "op/")
        .map(({ startedAt }) => performance.now() - startedAt);
      if (waits.length > 0 && Math.min(...waits) >= waitMs) return;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  /** Cuts the watches that are waiting. */
  cutWatches() {
    const watches = [...this.#watches];
    this.#watches.clear();
    for (const { response } of watches) response.destroy();
    return watches.length;
  }

  /** The store is away: connections are closed and new calls get 503. */
  leave() {
    this.#isAway = true;
    this.#watches.clear();
    for (const server of this.#servers) server.closeAllConnections();
  }

  /** Comes back from a copy; revisions go back to the copy's. */
  returnFrom(copy) {
    this.#revision = copy.revision;
    this.#items = new Map(copy.items);
    this.#history = [...copy.history];
    this.#era += 1;
    this.#isAway = false;
  }

  #handle(request, response, links) {
    response.setHeader("Store-Era", String(this.#era));
    if (this.#isAway) {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    switch (url.pathname) {
      case "/-/kv-range": {
        const after = url.searchParams.get("after") ?? "";
        const items = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1)
          .map((item) => replaceAddress(item, links));
        send(response, 200, { items, truncated: false, as_of: this.#revision });
        break;
      }
      case "/-/kv-watch":
        this.#watch(url.searchParams, prefix, response, links);
        break;
      default:
        send(response, 404, { error: "no such call" });
    }
  }

  #watch(parameters, prefix, response, links) {
    const after = Number(parameters.get("after"));
    // A revision that the store does not have is part of no history.
    if (after > this.#revision) {
      send(response, 410, { error: "no such revision" });
      return;
    }
    const startedAt = performance.now();
    const watch = { prefix, after, response, links, startedAt };
    const waitMs = Math.min(30_000, Number(parameters.get("wait_ms")));
    const timer = setTimeout(() => {
      if (this.#watches.delete(watch)) {
        send(response, 200, { events: [], as_of: this.#revision });
      }
    }, waitMs);
    response.once("close", () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
    this.#watches.add(watch);
    this.#notify();
  }

  #notify() {
    for (const watch of this.#watches) {
      const events = this.#history.filter(({ key, rev }) =>
        key.startsWith(watch.prefix) && rev > watch.after
      ).map((item) => replaceAddress(item, watch.links));
      if (events.length === 0) continue;
      this.#watches.delete(watch);
      send(watch.response, 200, { events, as_of: this.#revision });
    }
  }
}

/** Returns a replica's item with the address of its link, if it has one. */
function replaceAddress(item, links) {
  if (item.value === undefined || !item.key.startsWith("servers/")) return item;
  const entry = JSON.parse(Buffer.from(item.value, "base64").toString());
  const addr = links.get(entry.addr) ?? entry.addr;
  const text = JSON.stringify({ ...entry, addr });
  return { ...item, value: Buffer.from(text).toString("base64") };
}

function send(response, status, body) {
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}
