/** Stands in for the configuration service: keys at one growing revision, read and watch only for daemons. */
import type { Response } from "express";
import { FakeServer } from "./fake_server.ts";

export interface ConfigurationFaults {
  down: boolean;
  /** Revision at which readers are held back; 0 for none. */
  staleAtRevision: number;
  /** Reads of keys, from now on, that answer at a revision of their own. */
  tornReads: number;
  /** Whether answers are no JSON. */
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
      if (!this.#admit(response)) return;
      this.#sendKeys(response);
    });
    this.app.get("/v1/keys/:key", (request, response) => {
      if (!this.#admit(response)) return;
      const { revision, values } = this.#getVisible();
      const value = values.get(String(request.params["key"]));
      if (value === undefined) response.status(404).json({ revision });
      else response.json({ revision: revision + this.#takeTear(), value });
    });
    this.app.get("/v1/watch", (request, response) => {
      if (!this.#admit(response)) return;
      const after = Number(request.query["after"]);
      const waitMs = Number(request.query["waitMs"] ?? 0);
      this.#watch(response, after, waitMs);
    });
    this.app.put("/operator/keys/:key", (request, response) => {
      this.setKey(String(request.params["key"]), String(request.body.value));
      response.json({ revision: this.#getLatest().revision });
    });
  }

  /** Edits a table, as operators do. */
  setKey(key: string, value: string): void {
    const latest = this.#getLatest();
    const values = new Map(latest.values).set(key, value);
    this.#revisions.push({ revision: latest.revision + 1, values });
    for (const wake of [...this.#watchers]) wake();
  }

  /** Ends the watches that wait, as an outage does. */
  setDown(down: boolean): void {
    this.faults.down = down;
    if (down) this.dropConnections();
  }

  #getLatest(): Revision {
    return this.#revisions[this.#revisions.length - 1] as Revision;
  }

  #getVisible(): Revision {
    const limit = this.faults.staleAtRevision;
    if (limit === 0) return this.#getLatest();
    return this.#revisions.findLast((entry) => entry.revision <= limit) ??
      this.#getLatest();
  }

  #admit(response: Response): boolean {
    this.calls += 1;
    if (this.faults.isGarbled) {
      response.send("<html>");
      return false;
    }
    if (!this.faults.down) return true;
    response.status(503).json({ error: "down" });
    return false;
  }

  /** Returns by how much the next read of a key is off. */
  #takeTear(): number {
    if (this.faults.tornReads === 0) return 0;
    this.faults.tornReads -= 1;
    return 1;
  }

  #sendKeys(response: Response): void {
    const { revision, values } = this.#getVisible();
    response.json({ revision, keys: [...values.keys()] });
  }

  #watch(response: Response, after: number, waitMs: number): void {
    if (this.#getVisible().revision > after) {
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
