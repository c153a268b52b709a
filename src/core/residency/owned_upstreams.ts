/**
 * The upstreams that this daemon owns. Takes and releases ownership as the set
 * of alive daemons in its failure domain changes, with a handover between
 * owners.
 */
import type { CorePolicy } from "../core_policy.ts";
import { FairShares } from "../limits/fair_shares.ts";
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import type { OrderResult } from "../events.ts";
import { IdGenerator } from "../id_generator.ts";
import type { Membership } from "../membership/membership.ts";
import type {
  EvictionDigest,
  HandoverMessage,
  LeaseRequestMessage,
  UpstreamDigest,
} from "../messages.ts";
import { LeaseRefusalReason } from "../outcomes.ts";
import type {
  HostStructure,
  Milliseconds,
  PoolStructure,
} from "../structures.ts";
import type { TableReplica } from "../tables/table_replica.ts";
import { AdapterPopularity } from "./adapter_popularity.ts";
import type { StorePermit, StorePermitClient } from "./store_permit_client.ts";
import type { OwnedUpstreamDescription } from "./owner_description.ts";
import { UpstreamOwner } from "./upstream_owner.ts";

export interface OwnedUpstreamsOptions {
  selfId: string;
  incarnation: string;
  settings: CoreSettings;
  policy: CorePolicy;
  tables: TableReplica;
  membership: Membership;
  store: StorePermitClient;
  emit: (effect: Effect) => void;
  /** Publishes the digest of an owned upstream to peers. */
  publishUpstream: (digest: UpstreamDigest, now: Milliseconds) => void;
  /** Tells peers that this daemon does not own an upstream any more. */
  removeUpstream: (upstreamId: string) => void;
  /** Publishes the evictions on owned upstreams to peers. */
  publishEvictions: (evictions: readonly EvictionDigest[]) => void;
}

/**
 * Time for which a handover is kept that arrives before this daemon becomes the
 * owner.
 */
const HANDOVER_LIFETIME_MS = 5_000;

export class OwnedUpstreams {
  readonly #options: OwnedUpstreamsOptions;
  readonly #creditShares: FairShares;
  readonly #loadShares: FairShares;
  readonly #popularity = new AdapterPopularity();
  readonly #owners = new Map<string, UpstreamOwner>();
  /**
   * Shared by all upstreams, so that one owned again does not repeat an
   * identifier.
   */
  readonly #ids: IdGenerator;
  readonly #handovers = new Map<
    string,
    { message: HandoverMessage; arrivedAt: Milliseconds }
  >();

  /** Membership epoch and tables revision at the last update. */
  #epoch = -1;
  #revision = -1;

  constructor(options: OwnedUpstreamsOptions) {
    this.#options = options;
    this.#ids = new IdGenerator(options);
    const getShare = (customer: string) =>
      options.tables.getSnapshot()?.getCustomer(customer)?.share ?? 1;
    this.#creditShares = new FairShares(getShare);
    this.#loadShares = new FairShares(getShare);
  }

  getOwner(upstreamId: string): UpstreamOwner | undefined {
    return this.#owners.get(upstreamId);
  }

  /**
   * Takes and releases ownership as the set of alive daemons in the domain or
   * the tables change.
   */
  update(now: Milliseconds): void {
    const { selfId, membership, tables } = this.#options;
    const { epoch } = membership;
    const revision = tables.getTablesRevision();
    if (epoch === this.#epoch && revision === this.#revision) return;
    this.#epoch = epoch;
    this.#revision = revision;
    const wanted = new Set<string>();
    for (const host of membership.getDomainUpstreams()) {
      if (membership.getOwnerId(host.id) !== selfId) continue;
      const pool = this.#findPool(host);
      if (!pool) continue;
      wanted.add(host.id);
      const owner = this.#owners.get(host.id);
      if (owner) this.#updateConfiguration(owner, host, pool);
      else this.#takeOwnership(host, pool, now);
    }
    for (const [upstreamId, owner] of this.#owners) {
      if (wanted.has(upstreamId)) continue;
      if (this.#isLastOwner(upstreamId)) continue;
      this.#releaseOwnership(owner, LeaseRefusalReason.NotOwner, now);
    }
  }

  tick(now: Milliseconds): void {
    const { selfId, membership } = this.#options;
    for (const owner of this.#owners.values()) {
      const hasOtherOwner = membership.views.hasOtherOwner(
        selfId,
        owner.upstreamId,
      );
      if (hasOtherOwner) owner.recordOtherOwner(now);
      owner.tick(now);
      this.#options.publishUpstream(owner.buildDigest(now), now);
    }
    this.#options.publishEvictions(this.#popularity.takeEvictions(now));
    this.#updateDemand(now);
  }

  /**
   * Answers a lease request; refuses it for an upstream that is not owned here.
   */
  requestLease(
    from: string,
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): void {
    const owner = this.#owners.get(request.upstreamId);
    if (owner) {
      owner.requestLease(from, request, now);
      this.#updateDemand(now);
    } else this.#refuseLease(from, request);
  }

  acceptHandover(message: HandoverMessage, now: Milliseconds): void {
    const owner = this.#owners.get(message.upstreamId);
    if (owner) owner.acceptHandover(message, now);
    else this.#handovers.set(message.upstreamId, { message, arrivedAt: now });
  }

  recordOrderEnd(
    orderId: string,
    result: OrderResult,
    now: Milliseconds,
  ): void {
    for (const owner of this.#owners.values()) {
      if (owner.recordOrderEnd(orderId, result, now)) return;
    }
  }

  /** Starts the most urgent load under the permit, or returns it unused. */
  startMostUrgentLoad(permit: StorePermit, now: Milliseconds): void {
    let best: UpstreamOwner | undefined;
    let urgency = 0;
    for (const owner of this.#owners.values()) {
      const demand = owner.computeDemand(now);
      if (demand.loads === 0 || demand.urgency <= urgency) continue;
      best = owner;
      urgency = demand.urgency;
    }
    const isUsed = best?.tryStartLoad(permit, now) ?? false;
    if (!isUsed) this.#options.store.returnPermit(permit, false);
  }

  #updateDemand(now: Milliseconds): void {
    const total = { loads: 0, urgency: 0 };
    for (const owner of this.#owners.values()) {
      const demand = owner.computeDemand(now);
      total.loads += demand.loads;
      total.urgency = Math.max(total.urgency, demand.urgency);
    }
    this.#options.store.updateDemand(total, now);
  }

  /**
   * Hands every upstream over to its next owner, for a planned stop. One that
   * has no next owner is kept until the process ends.
   */
  handOverAll(now: Milliseconds): void {
    for (const owner of [...this.#owners.values()]) {
      if (this.#isLastOwner(owner.upstreamId)) continue;
      this.#releaseOwnership(owner, LeaseRefusalReason.Stopping, now);
    }
  }

  /** Ends every ownership without a handover, after a pause of this process. */
  expireAll(now: Milliseconds): void {
    for (const owner of this.#owners.values()) {
      owner.release(LeaseRefusalReason.NotOwner, now);
    }
    this.#owners.clear();
    this.#epoch = -1;
  }

  mergeEvictions(
    evictions: readonly EvictionDigest[],
    now: Milliseconds,
  ): void {
    this.#popularity.mergeEvictions(evictions, now);
  }

  describe(now: Milliseconds): OwnedUpstreamDescription[] {
    return [...this.#owners.values()].map((owner) => owner.describe(now));
  }

  #findPool(host: HostStructure): PoolStructure | undefined {
    return this.#options.tables.getSnapshot()?.getPoolOfUpstream(host);
  }

  #takeOwnership(
    host: HostStructure,
    pool: PoolStructure,
    now: Milliseconds,
  ): void {
    const { selfId, settings, policy, membership, store, emit } = this.#options;
    const owner = new UpstreamOwner({
      selfId,
      host,
      pool,
      settings,
      policy,
      popularity: this.#popularity,
      store,
      maxRunMs: this.#options.tables.getSnapshot()?.getMaxRunMs(pool.name) ??
        0,
      emit,
      findRedirectTarget: (adapterKey) =>
        membership.findRedirectTarget(adapterKey, host),
      creditShares: this.#creditShares,
      loadShares: this.#loadShares,
      createId: (prefix) => this.#ids.createId(prefix),
    }, now);
    this.#owners.set(host.id, owner);
    const handover = this.#handovers.get(host.id);
    this.#handovers.delete(host.id);
    if (handover && now - handover.arrivedAt < HANDOVER_LIFETIME_MS) {
      owner.acceptHandover(handover.message, now);
    }
    owner.tick(now);
  }

  /**
   * Returns whether a planned stop has left no daemon that could own the
   * upstream.
   */
  #isLastOwner(upstreamId: string): boolean {
    const { membership } = this.#options;
    return membership.getUpstreamHost(upstreamId) !== undefined &&
      membership.getOwnerId(upstreamId) === undefined;
  }

  #updateConfiguration(
    owner: UpstreamOwner,
    host: HostStructure,
    pool: PoolStructure,
  ): void {
    const isSame = owner.host === host && owner.pool === pool;
    if (isSame) return;
    const maxRunMs =
      this.#options.tables.getSnapshot()?.getMaxRunMs(pool.name) ?? 0;
    owner.updateConfiguration({ host, pool, maxRunMs });
  }

  /**
   * Releases an upstream, and hands it over to its next owner if one is known.
   */
  #releaseOwnership(
    owner: UpstreamOwner,
    reason: LeaseRefusalReason,
    now: Milliseconds,
  ): void {
    const { upstreamId } = owner;
    const successor = this.#options.membership.getSuccessorId(upstreamId);
    if (successor !== undefined && owner.isOwning()) {
      this.#options.emit({
        kind: "send",
        to: successor,
        message: owner.describeHandover(now),
      });
    }
    owner.release(reason, now);
    this.#owners.delete(upstreamId);
    this.#options.removeUpstream(upstreamId);
  }

  #refuseLease(
    to: string,
    request: LeaseRequestMessage,
  ): void {
    const { membership, settings, emit } = this.#options;
    emit({
      kind: "count",
      counter: "lease_refused",
      tag: LeaseRefusalReason.NotOwner,
    });
    emit({
      kind: "send",
      to,
      message: {
        kind: "leaseRefusal",
        leaseRequestId: request.leaseRequestId,
        upstreamId: request.upstreamId,
        adapterKey: request.adapterKey,
        reason: LeaseRefusalReason.NotOwner,
        retryAfterMs: settings.heartbeatIntervalMs,
        redirectUpstreamId: "",
        ownerId: membership.getOwnerId(request.upstreamId) ?? "",
      },
    });
  }
}
