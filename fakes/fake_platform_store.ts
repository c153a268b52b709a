/**
 * Fake of the platform's key-value store: range reads and watches by prefix,
 * with faults, and restores from an older copy.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { StorePosition } from "../src/core/view/store_position.ts";
import { Header, RANGE_PATH, WATCH_PATH } from "../platform/wire_names.ts";

/**
 * Fault of the store: `busy` answers 503, `silent` never answers, `historyGone`
 * answers 410 to each watch.
 */
export type StoreFault = "none" | "busy" | "silent" | "historyGone";

interface StoredItem {
  key: string;
  rev: number;
  value?: string;
  removed?: boolean;
}

interface WaitingWatch {
  prefix: string;
  after: number;
  response: ServerResponse;
}

/** What a restored store has. */
export interface StoreCopy {
  revision: number;
  items: Map<string, StoredItem>;
}

export class FakePlatformStore {
  readonly #server: Server = createServer((request, response) =>
    this.#handle(request, response)
  );
  #items = new Map<string, StoredItem>();
  #watches: WaitingWatch[] = [];
  #revision = 1;
  /** The era that answers name, as text; undefined for none. */
  era: string | undefined = "1";
  fault: StoreFault = "none";
  calls = 0;

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Position of the latest write. */
  get position(): StorePosition {
    return { era: Number(this.era), revision: this.#revision };
  }

  /** Writes a value: strings unchanged, everything else as JSON. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#revision += 1;
    this.#items.set(key, {
      key,
      rev: this.#revision,
      value: Buffer.from(text).toString("base64"),
    });
    this.#notifyWatches();
  }

  remove(key: string): void {
    this.#revision += 1;
    this.#items.set(key, { key, rev: this.#revision, removed: true });
    this.#notifyWatches();
  }

  createCopy(): StoreCopy {
    return { revision: this.#revision, items: new Map(this.#items) };
  }

  /** Goes back to the copy, under the next era; waiting watches are cut. */
  returnTo(copy: StoreCopy): void {
    this.#revision = copy.revision;
    this.#items = new Map(copy.items);
    this.era = String(Number(this.era) + 1);
    this.cutWatches();
  }

  /** Closes the connections of the watches that wait. */
  cutWatches(): void {
    for (const { response } of this.#watches.splice(0)) response.destroy();
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    this.calls += 1;
    if (this.era !== undefined) response.setHeader(Header.StoreEra, this.era);
    const url = new URL(request.url ?? "/", "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    switch (this.fault) {
      case "silent":
        return;
      case "busy":
        response.writeHead(503).end();
        return;
      case "historyGone":
        if (url.pathname === WATCH_PATH) {
          response.writeHead(410).end();
          return;
        }
        break;
      case "none":
        break;
    }
    if (url.pathname === RANGE_PATH) {
      const items = this.#list(prefix, 0).filter((item) => !item.removed);
      sendJson(response, { items, truncated: false, as_of: this.#revision });
    } else {
      const after = Number(url.searchParams.get("after"));
      const waitMs = Number(url.searchParams.get("wait_ms"));
      if (after > this.#revision) {
        response.writeHead(410).end();
        return;
      }
      this.#watches.push({ prefix, after, response });
      setTimeout(() => this.#endWatch(response), waitMs).unref();
      this.#notifyWatches();
    }
  }

  #list(prefix: string, after: number): StoredItem[] {
    return [...this.#items.values()].filter((item) =>
      item.key.startsWith(prefix) && item.rev > after
    );
  }

  #notifyWatches(): void {
    if (this.fault === "silent") return;
    this.#watches = this.#watches.filter((watch) => {
      const events = this.#list(watch.prefix, watch.after);
      if (events.length === 0) return true;
      sendJson(watch.response, { events, as_of: this.#revision });
      return false;
    });
  }

  #endWatch(response: ServerResponse): void {
    const isWaiting = this.#watches.some((watch) =>
      watch.response === response
    );
    if (!isWaiting) return;
    this.#watches = this.#watches.filter((watch) =>
      watch.response !== response
    );
    sendJson(response, { events: [], as_of: this.#revision });
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  if (response.writableEnded) return;
  response.setHeader("Content-Type", "application/json");
  response.end(JSON.stringify(value));
}
