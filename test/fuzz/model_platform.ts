/**
 * Simulated platform: a configuration service that is up, down or stale, and a
 * host list that is returned with a delay.
 */
import type { CoreEvent } from "../../src/core/events.ts";
import type {
  HostListStructure,
  TablesStructure,
} from "../../src/core/structures.ts";
import type { EventQueue } from "./event_queue.ts";
import { createHosts, PLATFORM_ID } from "./fleet_layout.ts";
import type { ModelNetwork } from "./model_network.ts";
import type { RandomSource } from "./random_source.ts";

export type PlatformMode = "up" | "down" | "stale";

const MAX_READ_DELAY_MS = 20;
/** Number of revisions by which a stale service lags behind. */
const STALE_REVISIONS = 2;

interface DatedHostList {
  at: number;
  hostList: HostListStructure;
}

export class ModelPlatform {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #network: ModelNetwork;
  readonly #history: TablesStructure[];
  readonly #hostLists: DatedHostList[];
  readonly #leaving = new Set<string>();
  mode: PlatformMode = "up";
  hostLagMs = 100;

  constructor(
    parts: { queue: EventQueue; random: RandomSource; network: ModelNetwork },
    tables: TablesStructure,
  ) {
    this.#queue = parts.queue;
    this.#random = parts.random;
    this.#network = parts.network;
    this.#history = [tables];
    this.#hostLists = [{
      at: Number.NEGATIVE_INFINITY,
      hostList: { revision: 1, hosts: createHosts(this.#leaving) },
    }];
  }

  getTables(): TablesStructure {
    return this.#history.at(-1)!;
  }

  publishTables(tables: TablesStructure): void {
    this.#history.push(tables);
  }

  setLeaving(hostId: string, isLeaving: boolean): void {
    if (isLeaving) this.#leaving.add(hostId);
    else this.#leaving.delete(hostId);
    const revision = this.#hostLists.at(-1)!.hostList.revision + 1;
    this.#hostLists.push({
      at: this.#queue.now,
      hostList: { revision, hosts: createHosts(this.#leaving) },
    });
  }

  /**
   * Returns the tables and the host list to a daemon, or tells it that the
   * platform is unreachable.
   */
  poll(daemonId: string, answer: (events: CoreEvent[]) => void): void {
    const isCut = this.#network.isConnectionCut(daemonId, PLATFORM_ID);
    const events = isCut ? [UNREACHABLE] : this.#read();
    this.#queue.schedule(
      this.#random.drawInteger(1, MAX_READ_DELAY_MS),
      () => answer(events),
    );
  }

  #read(): CoreEvent[] {
    const seenAt = this.#queue.now - this.hostLagMs;
    const { hostList } = this.#hostLists.findLast((entry) =>
      entry.at <= seenAt
    )!;
    const hosts: CoreEvent = { kind: "hostListPublished", hostList };
    switch (this.mode) {
      case "up":
        return [
          { kind: "tablesPublished", tables: this.getTables() },
          hosts,
        ];
      case "stale": {
        const index = Math.max(0, this.#history.length - 1 - STALE_REVISIONS);
        return [
          { kind: "tablesPublished", tables: this.#history[index]! },
          hosts,
        ];
      }
      case "down":
        return [UNREACHABLE, hosts];
    }
  }
}

const UNREACHABLE: CoreEvent = { kind: "platformUnreachable" };
