/**
 * Runs the cores of many daemons in one process with simulated time and a
 * message queue instead of the network, to measure and test the messages
 * between daemons. Upstreams answer at once and don't change on their own.
 */
import {
  type CoreSettings,
  DEFAULT_CORE_SETTINGS,
} from "../../src/core/core_settings.ts";
import { DaemonCore } from "../../src/core/daemon_core.ts";
import type { Effect } from "../../src/core/effects.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import type { RefusalReason } from "../../src/core/outcomes.ts";
import type { PeerMessage } from "../../src/core/messages.ts";
import type {
  HostListStructure,
  HostStructure,
  TablesStructure,
  UpstreamStateStructure,
} from "../../src/core/structures.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
} from "../../src/protocol/peer_codec.ts";

export const TICK_MS = 20;
const MAX_RETRY_MS = 10_000;
const WATCH_TIMEOUT_MS = 10_000;

/** Traffic of one daemon since its counts were cleared. */
export interface NodeCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  envelopesSent: number;
  bytesByKind: Map<string, number>;
}

export interface FleetNode {
  readonly host: HostStructure;
  core: DaemonCore;
  counts: NodeCounts;
  isAlive: boolean;
  isPaused: boolean;
  isReading: boolean;
  /** State of this daemon's reads of the platform. */
  platform: { nextCallAt: number; failures: number; knownRevision: number };
  inbox: { from: string; bytes: Uint8Array }[];
  outbox: Map<string, PeerMessage[]>;
  pending: CoreEvent[];
  /** Reasons for which it refused requests. */
  refusals: RefusalReason[];
}

export interface ControlFleetOptions {
  hosts: readonly HostStructure[];
  settings?: Partial<CoreSettings>;
  /** Time between ticks of a daemon; a multiple of `TICK_MS`. */
  tickMs?: number;
  /** Number of calls for one read of the tables. */
  callsPerRead?: number;
  /** Whether to count bytes by kind of message, which is slow. */
  isKindCounted?: boolean;
  /** Returns whether a daemon of the host list runs; all do by default. */
  isRun?: (host: HostStructure) => boolean;
}

/**
 * Returns the delays of the delivered copies of an envelope; none when it is
 * lost.
 */
export type Transit = (from: string, to: string) => readonly number[];

export class ControlFleet {
  readonly nodes = new Map<string, FleetNode>();
  now = 0;
  isPlatformUp = true;
  tables: TablesStructure | undefined;
  hostList: HostListStructure;
  intercept: Transit = () => [1];
  /** Calls to the configuration service, by second. */
  readonly callsBySecond = new Map<number, number>();
  /** States of the upstreams; tests change them. */
  readonly upstreams = new Map<string, UpstreamStateStructure>();
  readonly #options: ControlFleetOptions;
  readonly #queue = new Map<
    number,
    { to: string; from: string; bytes: Uint8Array }[]
  >();
  #incarnations = 0;

  constructor(options: ControlFleetOptions) {
    this.#options = options;
    this.hostList = { revision: 1, hosts: [...options.hosts] };
    for (const host of options.hosts) {
      if (host.role === "entry") {
        if (options.isRun?.(host) ?? true) this.startNode(host);
      } else {
        this.upstreams.set(host.id, {
          incarnation: "1",
          fencing: 0,
          leaving: false,
          residents: [],
          running: 0,
        });
      }
    }
  }

  getNode(id: string): FleetNode {
    const node = this.nodes.get(id);
    if (node) return node;
    throw new Error(`Expected a daemon ${id}, found none`);
  }

  listNodes(): FleetNode[] {
    return [...this.nodes.values()];
  }

  /** Starts a daemon; one that ran before restarts with a new incarnation. */
  startNode(host: HostStructure): FleetNode {
    this.#incarnations += 1;
    const seedHosts = this.hostList.hosts.filter((entry) =>
      entry.role === "entry"
    );
    const core = new DaemonCore({
      selfId: host.id,
      incarnation: `i${this.#incarnations}`,
      failureDomain: host.failureDomain,
      settings: { ...DEFAULT_CORE_SETTINGS, ...this.#options.settings },
      seedHosts,
      ticketSecret: new Uint8Array(32),
    }, this.now);
    const node: FleetNode = {
      host,
      core,
      counts: createCounts(),
      isAlive: true,
      isPaused: false,
      isReading: false,
      platform: { nextCallAt: 0, failures: 0, knownRevision: 0 },
      inbox: [],
      outbox: new Map(),
      pending: [],
      refusals: [],
    };
    this.nodes.set(host.id, node);
    return node;
  }

  clearCounts(): void {
    for (const node of this.nodes.values()) node.counts = createCounts();
    this.callsBySecond.clear();
  }

  /** Advances the time in steps of `TICK_MS`. */
  run(durationMs: number): void {
    const endsAt = this.now + durationMs;
    while (this.now < endsAt) {
      this.now += TICK_MS;
      this.#deliver();
      for (const node of this.nodes.values()) {
        if (node.isAlive && !node.isPaused) this.#step(node);
      }
    }
  }

  /**
   * Runs until the condition holds; returns the elapsed time, or infinity at
   * the limit.
   */
  runUntil(isSatisfied: () => boolean, limitMs: number): number {
    const startedAt = this.now;
    while (this.now - startedAt < limitMs) {
      if (isSatisfied()) return this.now - startedAt;
      this.run(TICK_MS);
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Passes an event to a daemon and runs its effects. */
  handle(node: FleetNode, event: CoreEvent): void {
    for (const effect of node.core.handle(event, this.now)) {
      this.#runEffect(node, effect);
    }
  }

  #step(node: FleetNode): void {
    for (const { from, bytes } of node.inbox.splice(0)) {
      for (const message of decodeEnvelope(bytes).messages) {
        this.handle(node, { kind: "peerMessage", from, message });
      }
    }
    for (const event of node.pending.splice(0)) this.handle(node, event);
    if (node.isReading) this.#readPlatform(node);
    if (this.now % (this.#options.tickMs ?? TICK_MS) === 0) {
      this.handle(node, { kind: "tick" });
    }
    this.#flushOutbox(node);
  }

  #runEffect(node: FleetNode, effect: Effect): void {
    switch (effect.kind) {
      case "send": {
        const messages = node.outbox.get(effect.to) ?? [];
        messages.push(effect.message);
        node.outbox.set(effect.to, messages);
        break;
      }
      case "readPlatform":
        node.isReading = effect.isReading;
        node.platform = { nextCallAt: this.now, failures: 0, knownRevision: 0 };
        break;
      case "readUpstreamState": {
        const state = this.upstreams.get(effect.upstreamId);
        if (!state) break;
        node.pending.push({
          kind: "upstreamStateRead",
          upstreamId: effect.upstreamId,
          readId: effect.readId,
          state,
        });
        break;
      }
      case "order":
        node.pending.push({
          kind: "orderEnded",
          orderId: effect.orderId,
          result: { kind: "done" },
        });
        break;
      case "refuse":
        node.refusals.push(effect.reason);
        break;
      default:
        break;
    }
  }

  #flushOutbox(node: FleetNode): void {
    for (const [to, messages] of node.outbox) {
      const bytes = encodeEnvelope({ from: node.host.id, messages });
      node.counts.bytesSent += bytes.length;
      node.counts.messagesSent += messages.length;
      node.counts.envelopesSent += 1;
      if (this.#options.isKindCounted) this.#countKinds(node, messages);
      for (const delayMs of this.intercept(node.host.id, to)) {
        const at = Math.ceil((this.now + delayMs) / TICK_MS) * TICK_MS;
        const arrivals = this.#queue.get(at) ?? [];
        arrivals.push({ to, from: node.host.id, bytes });
        this.#queue.set(at, arrivals);
      }
    }
    node.outbox.clear();
  }

  #countKinds(node: FleetNode, messages: readonly PeerMessage[]): void {
    const { bytesByKind } = node.counts;
    for (const message of messages) {
      const { length } = encodeEnvelope({ from: "", messages: [message] });
      const knownBytes = bytesByKind.get(message.kind) ?? 0;
      bytesByKind.set(message.kind, knownBytes + length);
    }
  }

  #deliver(): void {
    const arrivals = this.#queue.get(this.now) ?? [];
    this.#queue.delete(this.now);
    for (const { to, from, bytes } of arrivals) {
      const node = this.nodes.get(to);
      if (!node?.isAlive) continue;
      node.counts.bytesReceived += bytes.length;
      node.inbox.push({ from, bytes });
    }
  }

  /** Reads the platform and then watches it, as the daemon's task does. */
  #readPlatform(node: FleetNode): void {
    const { platform } = node;
    const revision = this.tables?.revision ?? 0;
    const hasNewRevision = this.isPlatformUp && platform.knownRevision > 0 &&
      revision > platform.knownRevision;
    if (this.now < platform.nextCallAt && !hasNewRevision) return;
    this.#recordCalls(1);
    if (!this.isPlatformUp) {
      platform.failures += 1;
      platform.nextCallAt = this.now +
        Math.min(MAX_RETRY_MS, 1_000 * 2 ** (platform.failures - 1));
      this.handle(node, { kind: "platformUnreachable" });
      return;
    }
    platform.failures = 0;
    platform.nextCallAt = this.now + WATCH_TIMEOUT_MS;
    this.handle(node, { kind: "hostListPublished", hostList: this.hostList });
    if (this.tables && revision > platform.knownRevision) {
      this.#recordCalls(this.#options.callsPerRead ?? 1);
      platform.knownRevision = revision;
      this.handle(node, { kind: "tablesPublished", tables: this.tables });
    } else this.handle(node, { kind: "platformReached" });
  }

  #recordCalls(count: number): void {
    const second = Math.floor(this.now / 1_000);
    const knownCalls = this.callsBySecond.get(second) ?? 0;
    this.callsBySecond.set(second, knownCalls + count);
  }
}

function createCounts(): NodeCounts {
  return {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    envelopesSent: 0,
    bytesByKind: new Map(),
  };
}
