/**
 * Fake configuration service: all keys share one increasing revision. Daemons
 * read and watch; only tests and operators write.
 */
import type { Response } from "express";
import { FakeServer } from "./fake_server.ts";

export interface ConfigurationFaults {
  down: boolean;
  /** Newest revision that readers are given; 0 for no limit. */
  staleAtRevision: number;
  /**
   * Number of upcoming reads of single keys that answer with a revision one too
   * high.
   */
  tornReads: number;
  /** Whether answers are HTML instead of JSON. */
  isGarbled: boolean;
}

interface Revision {
  revision: number;
  values: Map<string, string>;
}

export class FakeConfiguration extends FakeServer<ConfigurationFaults> {
  calls = 0;
  readonly #revisions: Revision[] = [{ revision: 1, values: new Map() }];
  readonly #watchers = new Set<() => void>();

  constructor() {
    super({ down: false, staleAtRevision: 0, tornReads: 0, isGarbled: false });
    this.app.get("/v1/keys", (_request, response) => {
      if (!this.#admitCall(response)) return;
      this.#sendKeys(response);
    });
    this.app.get("/v1/keys/:key", (request, response) => {
      if (!this.#admitCall(response)) return;
      const { revision, values } = this.#getVisibleRevision();
      const value = values.get(String(request.params["key"]));
      if (value === undefined) response.status(404).json({ revision });
      else response.json({ revision: revision + this.#takeSkew(), value });
    });
    this.app.get("/v1/watch", (request, response) => {
      if (!this.#admitCall(response)) return;
      const after = Number(request.query["after"]);
      const waitMs = Number(request.query["waitMs"] ?? 0);
      this.#watch(response, after, waitMs);
    });
    this.app.put("/operator/keys/:key", (request, response) => {
      this.setKey(String(request.params["key"]), String(request.body.value));
      response.json({ revision: this.#getLatestRevision().revision });
    });
  }

  /**
   * Writes a key at a new revision, as operators do, and answers the waiting
   * watches.
   */
  setKey(key: string, value: string): void {
    const latest = this.#getLatestRevision();
    const values = new Map(latest.values).set(key, value);
    this.#revisions.push({ revision: latest.revision + 1, values });
    for (const notify of [...this.#watchers]) notify();
  }

  /**
   * Starts or ends an outage; its start closes all connections, also those of
   * waiting watches.
   */
  setDown(down: boolean): void {
    this.faults.down = down;
    if (down) this.dropConnections();
  }

  #getLatestRevision(): Revision {
    return this.#revisions[this.#revisions.length - 1] as Revision;
  }

  #getVisibleRevision(): Revision {
    const limit = this.faults.staleAtRevision;
    if (limit === 0) return this.#getLatestRevision();
    return this.#revisions.findLast((entry) => entry.revision <= limit) ??
      this.#getLatestRevision();
  }

  /**
   * Returns true if no fault applies; otherwise answers with the fault and
   * returns false.
   */
  #admitCall(response: Response): boolean {
    this.calls += 1;
    if (this.faults.isGarbled) {
      response.send("<html>");
      return false;
    }
    if (!this.faults.down) return true;
    response.status(503).json({ error: "down" });
    return false;
  }

  /**
   * Returns what is added to the revision of this read, and uses up one torn
   * read.
   */
  #takeSkew(): number {
    if (this.faults.tornReads === 0) return 0;
    this.faults.tornReads -= 1;
    return 1;
  }

  #sendKeys(response: Response): void {
    const { revision, values } = this.#getVisibleRevision();
    response.json({ revision, keys: [...values.keys()] });
  }

  #watch(response: Response, after: number, waitMs: number): void {
    if (this.#getVisibleRevision().revision > after) {
      this.#sendKeys(response);
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      if (!this.#watchers.delete(finish)) return;
      if (!response.destroyed) this.#sendKeys(response);
    };
    const timer = setTimeout(finish, waitMs);
    this.#watchers.add(finish);
    response.once("close", finish);
  }
}
