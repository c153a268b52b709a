/**
 * Which engines one daemon should hold or observe, by what it knows of the others.
 * A holder keeps its engine while it lives; of two, the preferred one does. Right
 * after the start nobody else is known: nothing is claimed until peers have been
 * heard, sooner where all of them have just started too.
 */
import type { FleetView } from "../fleet/fleet_view.ts";
import { RECENTLY_STARTED_MS } from "../fleet/fleet_view.ts";
import type { FetchShare } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { OwnershipContext } from "./engine_owner.ts";

/** Daemons, by rank, that observe an engine while it has no holder. */
const OBSERVERS = 2;
/** Time after the start before engines are sought: peers are heard by then. */
const STARTUP_WAIT_MS = 2_500;
/** The same where all peers that are known have just started, too: four of a newcomer's heartbeats. */
const FLEET_START_WAIT_MS = 600;

export interface OwnerRolesOptions {
  fleet: FleetView;
  /** Where peers are looked for first; all of them are heard where nobody is cut off. */
  seedIps: readonly string[];
  /** When this daemon started. */
  startedAt: Milliseconds;
}

/** What a daemon has to do with one engine so far. */
export interface OwnershipStatus {
  readonly engineId: string;
  isOwner(): boolean;
  /** When the report was read from which the engine is observed here. */
  readonly observedAt: Milliseconds | undefined;
}

interface EngineIdentity {
  id: string;
  failureDomain: string;
}

export class OwnerRoles {
  readonly #options: OwnerRolesOptions;
  /** Engines that were held here soon after the start, whether they still are or not. */
  readonly #ownedSinceStart = new Set<string>();

  constructor(options: OwnerRolesOptions) {
    this.#options = options;
  }

  /** @param from an engine is undefined once it is registered no more. */
  describeContext(
    from: {
      engine: EngineIdentity | undefined;
      holder: OwnershipStatus;
      fetchShare: FetchShare;
      isStopping: boolean;
    },
    now: Milliseconds,
  ): OwnershipContext {
    const { engine, holder, fetchShare, isStopping } = from;
    const { fleet, startedAt } = this.#options;
    const isUnheld = engine !== undefined &&
      this.#isUnowned(engine, holder, now);
    const settleMs = isUnheld ? FLEET_START_WAIT_MS : STARTUP_WAIT_MS;
    const isSettled = now - startedAt > settleMs;
    if (!engine || !isSettled || isStopping) {
      return {
        isDesiredOwner: holder.isOwner(),
        // Who else there is is not known yet: the engines nearby are the likeliest to be held here.
        isCandidate: engine !== undefined && !isStopping &&
          engine.failureDomain === fleet.self.failureDomain,
        hasQuorum: false,
        isUnowned: false,
        peers: this.#listPeers(now),
        // Who holds an engine already, by a quick claim or a handover, goes on with it.
        fetchShare: holder.isOwner()
          ? fetchShare
          : { ...fetchShare, canFetch: false },
      };
    }
    const isWanted = this.#isDesiredOwner(engine, holder, now);
    return {
      isDesiredOwner: isWanted,
      isCandidate: isWanted || this.#isObserver(engine, now),
      hasQuorum: fleet.hasQuorum(engine.failureDomain, now),
      isUnowned: isUnheld,
      peers: this.#listPeers(now),
      fetchShare,
    };
  }

  /** Returns the daemons that may have runs at an engine; undefined where not every one is heard. */
  #listPeers(now: Milliseconds): string[] | undefined {
    const { fleet } = this.#options;
    if (!fleet.isFullMesh()) return undefined;
    const peers = fleet.listAlive(now).map(({ sender }) => sender.id);
    return [fleet.self.id, ...peers];
  }

  /** Remembers which engines a newcomer held; nobody asks an older daemon. */
  recordOwned(holder: OwnershipStatus, now: Milliseconds): void {
    if (!holder.isOwner() || !this.#isRecentlyStarted(now)) return;
    this.#ownedSinceStart.add(holder.engineId);
  }

  /** Returns the engines that were held here since the start, undefined when that was long ago. */
  listOwnedSinceStart(now: Milliseconds): string[] | undefined {
    return this.#isRecentlyStarted(now)
      ? [...this.#ownedSinceStart]
      : undefined;
  }

  #isRecentlyStarted(now: Milliseconds): boolean {
    return now - this.#options.startedAt < RECENTLY_STARTED_MS;
  }

  /** Returns whether neither this daemon nor a peer has held the engine since all of them started. */
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

  #isDesiredOwner(
    engine: EngineIdentity,
    holder: OwnershipStatus,
    now: Milliseconds,
  ): boolean {
    const { fleet } = this.#options;
    const selfId = fleet.self.id;
    const otherHolder = fleet.findOwner(engine.id, now);
    if (otherHolder === undefined) {
      return holder.isOwner() ||
        fleet.rankOwners(engine, false, now)[0]?.id === selfId;
    }
    if (!holder.isOwner()) return false;
    const ranked = fleet.rankOwners(engine, false, now);
    const own = ranked.findIndex((member) => member.id === selfId);
    const other = ranked.findIndex((member) => member.id === otherHolder);
    if (own < 0 && other < 0) return selfId < otherHolder;
    return own >= 0 && (other < 0 || own < other);
  }

  /** The first in rank observe an engine that nobody holds, so that a term has passed when one must claim it. */
  #isObserver(engine: EngineIdentity, now: Milliseconds): boolean {
    const { fleet } = this.#options;
    if (fleet.findOwner(engine.id, now) !== undefined) return false;
    return fleet.rankOwners(engine, false, now).slice(0, OBSERVERS)
      .some((member) => member.id === fleet.self.id);
  }
}
