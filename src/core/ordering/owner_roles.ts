/**
 * Decides which engines a daemon should own or observe, by what it knows about
 * its peers. An owner keeps its engine while it is alive; of two owners, the
 * one that ranks higher keeps it. Right after its start a daemon does not know
 * its peers: it claims nothing until it has had time to hear them, which is
 * shorter if all of them have recently started too.
 */
import type { DisclaimerRequirements, FleetView } from "../fleet/fleet_view.ts";
import { RECENTLY_STARTED_MS } from "../fleet/fleet_view.ts";
import type { FetchShare } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { OwnershipContext } from "./engine_owner.ts";

/** Number of daemons, by rank, that observe an engine while it has no owner. */
const OBSERVERS = 2;
/**
 * Time after the start before engines are claimed: peers have been heard by
 * then.
 */
const STARTUP_WAIT_MS = 2_500;
/**
 * The same if all known peers have recently started too: four of the heartbeats
 * that a daemon sends right after its start.
 */
const FLEET_START_WAIT_MS = 600;

/**
 * Time for which a contested order is remembered while its engine is not
 * published: longer than another daemon's rest after the same order.
 */
const CONTESTED_MEMORY_MS = 6_000;

export interface OwnerRolesOptions {
  fleet: FleetView;
  /**
   * Addresses at which peers are looked for first; all of them are heard unless
   * the network is partitioned.
   */
  seedIps: readonly string[];
  /** When this daemon started. */
  startedAt: Milliseconds;
}

/** Whether a daemon owns or observes an engine. */
export interface OwnershipStatus {
  readonly engineId: string;
  isOwner(): boolean;
  /**
   * When the report was read that started the observation; undefined if the
   * engine is not being observed.
   */
  readonly observedAt: Milliseconds | undefined;
  /**
   * Returns what the other daemons' word that they do not own the engine has to
   * meet; undefined if it is not needed.
   */
  getDisclaimerRequirements(
    now: Milliseconds,
  ): DisclaimerRequirements | undefined;
  /**
   * Returns whether this daemon has recently sent the engine an order that
   * another claimant may have sent too.
   */
  hasRecentContestedOrder(now: Milliseconds): boolean;
}

interface EngineIdentity {
  id: string;
  failureDomain: string;
}

export class OwnerRoles {
  readonly #options: OwnerRolesOptions;
  /**
   * Engines that this daemon owned soon after its start, whether it still owns
   * them or not.
   */
  readonly #ownedSinceStart = new Set<string>();
  /**
   * When this daemon last had a recent contested order at an engine, also if
   * the engine's entry has lapsed since.
   */
  readonly #contestedAt = new Map<string, Milliseconds>();

  constructor(options: OwnerRolesOptions) {
    this.#options = options;
  }

  /** @param from `engine` is undefined once it is no longer registered. */
  describeContext(
    from: {
      engine: EngineIdentity | undefined;
      owner: OwnershipStatus;
      fetchShare: FetchShare;
      isStopping: boolean;
    },
    now: Milliseconds,
  ): OwnershipContext {
    const { engine, owner, fetchShare, isStopping } = from;
    const { fleet, startedAt } = this.#options;
    const isUnowned = engine !== undefined &&
      this.#isUnowned(engine, owner, now);
    // An engine that this daemon already owns had no owner among its peers.
    const waitMs = isUnowned || owner.isOwner()
      ? FLEET_START_WAIT_MS
      : STARTUP_WAIT_MS;
    const isStartupOver = now - startedAt > waitMs;
    if (!engine || !isStartupOver || isStopping) {
      return {
        isDesiredOwner: owner.isOwner(),
        // The peers are not known yet: this daemon is most likely to own
        // engines of its own failure domain.
        isCandidate: engine !== undefined && !isStopping &&
          engine.failureDomain === fleet.self.failureDomain,
        hasQuorum: false,
        isIsolated: fleet.isIsolated(now),
        isUnowned: false,
        isDisclaimed: false,
        peers: this.#listPeers(now),
        // A daemon that already owns an engine, by an early claim or a
        // handover, continues to fetch adapters.
        fetchShare: owner.isOwner()
          ? fetchShare
          : { ...fetchShare, canFetch: false },
      };
    }
    const isDesiredOwner = this.#isDesiredOwner(engine, owner, now);
    return {
      isDesiredOwner,
      isCandidate: isDesiredOwner || this.#isObserver(engine, now),
      hasQuorum: fleet.hasQuorum(engine.failureDomain, now),
      isIsolated: fleet.isIsolated(now),
      isUnowned,
      isDisclaimed: this.#isDisclaimed(engine, owner, now),
      peers: this.#listPeers(now),
      fetchShare,
    };
  }

  /**
   * Returns the daemons that may have runs on an engine; undefined in a large
   * fleet, where not every daemon is heard.
   */
  #listPeers(now: Milliseconds): string[] | undefined {
    const { fleet } = this.#options;
    if (!fleet.isFullMesh()) return undefined;
    const peers = fleet.listAlive(now).map(({ sender }) => sender.id);
    return [fleet.self.id, ...peers];
  }

  /**
   * Records which engines this daemon owned soon after its start, since later no
   * peer needs to know, and to which it has sent contested orders.
   */
  recordOwned(owner: OwnershipStatus, now: Milliseconds): void {
    if (owner.hasRecentContestedOrder(now)) {
      this.#contestedAt.set(owner.engineId, now);
    }
    if (!owner.isOwner() || !this.#isRecentlyStarted(now)) return;
    this.#ownedSinceStart.add(owner.engineId);
  }

  /**
   * Returns the engines that this daemon has owned since its start; undefined
   * if the start was long ago.
   */
  listOwnedSinceStart(now: Milliseconds): string[] | undefined {
    return this.#isRecentlyStarted(now)
      ? [...this.#ownedSinceStart]
      : undefined;
  }

  /**
   * Returns the engines to which this daemon has recently sent a contested
   * order; undefined if there are none.
   */
  listContested(now: Milliseconds): string[] | undefined {
    for (const [engineId, contestedAt] of this.#contestedAt) {
      if (now - contestedAt >= CONTESTED_MEMORY_MS) {
        this.#contestedAt.delete(engineId);
      }
    }
    return this.#contestedAt.size > 0
      ? [...this.#contestedAt.keys()]
      : undefined;
  }

  #isRecentlyStarted(now: Milliseconds): boolean {
    return now - this.#options.startedAt < RECENTLY_STARTED_MS;
  }

  /**
   * Returns whether neither this daemon nor a peer has owned the engine since
   * all of them started.
   */
  #isUnowned(
    engine: EngineIdentity,
    { observedAt }: OwnershipStatus,
    now: Milliseconds,
  ): boolean {
    const { fleet, seedIps } = this.#options;
    return observedAt !== undefined && this.#isRecentlyStarted(now) &&
      !this.#ownedSinceStart.has(engine.id) &&
      fleet.isUnowned(engine, { since: observedAt, seedIps }, now);
  }

  /**
   * Returns whether all other daemons have said that they neither own the engine
   * nor have recently sent it a contested order.
   */
  #isDisclaimed(
    engine: EngineIdentity,
    owner: OwnershipStatus,
    now: Milliseconds,
  ): boolean {
    const { fleet, seedIps } = this.#options;
    const requirements = owner.getDisclaimerRequirements(now);
    return requirements !== undefined &&
      fleet.isDisclaimed(engine, { ...requirements, seedIps }, now);
  }

  #isDesiredOwner(
    engine: EngineIdentity,
    owner: OwnershipStatus,
    now: Milliseconds,
  ): boolean {
    const { fleet } = this.#options;
    const selfId = fleet.self.id;
    const otherOwner = fleet.findOwner(engine.id, now);
    if (otherOwner === undefined) {
      return owner.isOwner() ||
        fleet.rankOwners(engine, false, now)[0]?.id === selfId;
    }
    if (!owner.isOwner()) return false;
    const ranked = fleet.rankOwners(engine, false, now);
    const own = ranked.findIndex((member) => member.id === selfId);
    const other = ranked.findIndex((member) => member.id === otherOwner);
    if (own < 0 && other < 0) return selfId < otherOwner;
    return own >= 0 && (other < 0 || own < other);
  }

  /**
   * Returns whether this daemon is among the first in rank for an engine
   * without an owner. These observe it, so that a term has already passed when
   * one of them has to claim it.
   */
  #isObserver(engine: EngineIdentity, now: Milliseconds): boolean {
    const { fleet } = this.#options;
    if (fleet.findOwner(engine.id, now) !== undefined) return false;
    return fleet.rankOwners(engine, false, now).slice(0, OBSERVERS)
      .some((member) => member.id === fleet.self.id);
  }
}
