/** Fake of the platform's host list, with a settable publication delay. */
import type { HostStructure } from "../src/core/structures.ts";
import { FakeServer } from "./fake_server.ts";

export interface HostListFaults {
  down: boolean;
  lagMs: number;
  /** Revision that is answered instead of the current one; 0 for none. */
  answeredRevision: number;
  /** Whether answers are HTML instead of JSON. */
  isGarbled: boolean;
}

export class FakeHostList extends FakeServer<HostListFaults> {
  #revision = 1;
  #hosts: HostStructure[] = [];

  constructor() {
    super({ down: false, lagMs: 0, answeredRevision: 0, isGarbled: false });
    this.app.get("/v1/hosts", (_request, response) => {
      const { down, isGarbled, answeredRevision } = this.faults;
      const revision = answeredRevision === 0
        ? this.#revision
        : answeredRevision;
      if (down) response.status(503).json({ error: "down" });
      else if (isGarbled) response.send("<html>");
      else response.json({ revision, hosts: this.#hosts });
    });
    this.app.put("/operator/hosts", (request, response) => {
      this.setHosts(request.body.hosts);
      response.json({});
    });
  }

  getHosts(): HostStructure[] {
    return this.#hosts;
  }

  /** Publishes the hosts at the next revision, after `lagMs`. */
  setHosts(hosts: HostStructure[]): void {
    const publish = (): void => {
      this.#revision += 1;
      this.#hosts = hosts;
    };
    if (this.faults.lagMs === 0) publish();
    else setTimeout(publish, this.faults.lagMs);
  }
}
