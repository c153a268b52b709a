/**
 * The core of a single daemon with simulated upstreams that respond
 * immediately, for unit tests of its decisions.
 */
import { DEFAULT_CORE_SETTINGS } from "../../src/core/core_settings.ts";
import { DaemonCore } from "../../src/core/daemon_core.ts";
import type {
  DispatchEffect,
  Effect,
  RefuseEffect,
} from "../../src/core/effects.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import type { AttemptResult } from "../../src/core/outcomes.ts";
import type {
  HostStructure,
  TablesStructure,
  UpstreamStateStructure,
} from "../../src/core/structures.ts";
import { checkTables } from "../../src/core/tables/table_schema.ts";

const TICK_MS = 50;
const DOMAIN = "hobart-a";
/**
 * Failure domain of the peers. It differs from the daemon's own, so that their
 * silence does not make the daemon consider them dead.
 */
export const PEER_DOMAIN = "huon-b";
export const ENTRY_ID = "entry-1";

export class SingleDaemon {
  readonly core: DaemonCore;
  readonly effects: Effect[] = [];
  /**
   * State that each upstream reports; an upstream without an entry refuses
   * connections.
   */
  readonly states = new Map<string, UpstreamStateStructure>();
  /**
   * Number of further state readings for lost attempts that fail without a
   * response.
   */
  lostExaminations = 0;
  now = 0;
  #lastRequestNumber = 0;

  constructor(
    upstreamIds: readonly string[],
    peerIds: readonly string[] = [],
  ) {
    this.core = new DaemonCore({
      selfId: ENTRY_ID,
      incarnation: "i1",
      failureDomain: DOMAIN,
      settings: DEFAULT_CORE_SETTINGS,
      seedHosts: [],
      ticketSecret: new Uint8Array(32),
    }, this.now);
    for (const id of upstreamIds) this.states.set(id, createState());
    const entryIds = [ENTRY_ID, ...peerIds];
    const hosts = [
      ...entryIds.map((id) => createHost(id, "entry")),
      ...upstreamIds.map((id) => createHost(id, "upstream")),
    ];
    this.handle({
      kind: "hostListPublished",
      hostList: { revision: 1, hosts },
    });
    this.handle({ kind: "tablesPublished", tables: createTables() });
    this.advance(DEFAULT_CORE_SETTINGS.startGraceMs * 2);
  }

  handle(event: CoreEvent): void {
    const effects = this.core.handle(event, this.now);
    this.effects.push(...effects);
    for (const effect of effects) this.#answer(effect);
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.now += TICK_MS;
      this.handle({ kind: "tick" });
    }
  }

  /** Sends a request and returns its id. */
  request(route: string, options: { ticket?: string } = {}): string {
    this.#lastRequestNumber += 1;
    const requestId = `request-${this.#lastRequestNumber}`;
    this.handle({
      kind: "requestArrived",
      requestId,
      customer: "derwent",
      route,
      fingerprint: "f1",
      sharedParts: [],
      ...options,
    });
    return requestId;
  }

  endAttempt(attemptId: string, result: AttemptResult): void {
    this.handle({ kind: "attemptEnded", attemptId, result });
  }

  getDispatches(requestId: string): DispatchEffect[] {
    return this.effects.filter((effect) => effect.kind === "dispatch")
      .filter((effect) => effect.requestId === requestId);
  }

  getRefusal(requestId: string): RefuseEffect | undefined {
    return this.effects.filter((effect) => effect.kind === "refuse")
      .find((effect) => effect.requestId === requestId);
  }

  #answer(effect: Effect): void {
    if (effect.kind === "order") {
      const { orderId, order, upstreamId } = effect;
      if (order.kind === "load") {
        this.states.get(upstreamId)?.residents.push({
          adapterKey: order.adapterKey,
          inFlight: 0,
        });
      }
      this.handle({ kind: "orderEnded", orderId, result: { kind: "done" } });
    }
    if (effect.kind !== "readUpstreamState") return;
    const { upstreamId, readId } = effect;
    if (readId.startsWith("examination") && this.lostExaminations > 0) {
      this.lostExaminations -= 1;
      const isRefused = false;
      this.handle({
        kind: "upstreamStateUnread",
        upstreamId,
        readId,
        isConnectionRefused: isRefused,
      });
      return;
    }
    const state = this.states.get(upstreamId);
    this.handle(
      state
        ? {
          kind: "upstreamStateRead",
          upstreamId,
          readId,
          state: structuredClone(state),
        }
        : {
          kind: "upstreamStateUnread",
          upstreamId,
          readId,
          isConnectionRefused: true,
        },
    );
  }
}

function createState(): UpstreamStateStructure {
  return {
    incarnation: "e1",
    fencing: 0,
    leaving: false,
    residents: [],
    running: 0,
  };
}

function createHost(id: string, role: HostStructure["role"]): HostStructure {
  return {
    id,
    address: `127.0.0.1:${id.length}`,
    failureDomain: id === ENTRY_ID || role === "upstream"
      ? DOMAIN
      : PEER_DOMAIN,
    role,
    service: role === "entry" ? "" : "brief-writer",
    state: "live",
  };
}

function createTables(): TablesStructure {
  return checkTables({
    revision: 1,
    customers: [{ name: "derwent", tokenDigests: ["a".repeat(64)] }],
    pools: [{
      name: "writers",
      service: "brief-writer",
      failureDomains: [DOMAIN],
      slots: 4,
      batchSize: 8,
    }],
    routes: [true, false].map((idempotent) => ({
      name: idempotent ? "briefing" : "order",
      customer: "derwent",
      pool: "writers",
      adapter: "briefing",
      version: "v1",
      idempotent,
    })),
  }).unwrap();
}
