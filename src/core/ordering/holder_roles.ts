/**
 * Which engines one daemon should hold or observe, by what it knows of the others.
 * A holder keeps its engine while it lives; of two, the preferred one does. Right
 * after the start nobody else is known: nothing is claimed until peers have been
 * heard, sooner where all of them have just started too.
 */
import type { FleetView } from "../fleet/fleet_view.ts";
import { NEWCOMER_MS } from "../fleet/fleet_view.ts";
import type { FetchShare } from "../placement/fetch_window.ts";
import type { Milliseconds } from "../structures.ts";
import type { HolderSituation } from "./engine_holder.ts";

/** Daemons, by rank, that observe an engine while it has no holder. */
const OBSERVERS = 2;
/** Time after the start before engines are sought: peers are heard by then. */
const SETTLE_MS = 2_500;
/** The same where all peers that are known have just started, too: four of a newcomer's heartbeats. */
const NEWCOMER_SETTLE_MS = 600;

export interface HolderRolesOptions {
  fleet: FleetView;
  /** Where peers are looked for first; all of them are heard where nobody is cut off. */
  seedIps: readonly string[];
  /** When this daemon started. */
  startedAt: Milliseconds;
}

/** What a daemon has to do with one engine so far. */
export interface HeldOrNot {
  readonly engineId: string;
  isHolding(): boolean;
  /** When the report was read from which the engine is observed here. */
  readonly observedAt: Milliseconds | undefined;
}

interface EngineIdentity {
  id: string;
  failureDomain: string;
}

export class HolderRoles {
  readonly #options: HolderRolesOptions;
  /** Engines that were held here soon after the start, whether they still are or not. */
  readonly #everHeld = new Set<string>();

  constructor(options: HolderRolesOptions) {
    this.#options = options;
  }

  /** @param from an engine is undefined once it is registered no more. */
  describeSituation(
    from: {
      engine: EngineIdentity | undefined;
      holder: HeldOrNot;
      fetchShare: FetchShare;
      isStopping: boolean;
    },
    now: Milliseconds,
  ): HolderSituation {
    const { engine, holder, fetchShare, isStopping } = from;
    const { fleet, startedAt } = this.#options;
    const isUnheld = engine !== undefined &&
      this.#isUnheld(engine, holder, now);
    const settleMs = isUnheld ? NEWCOMER_SETTLE_MS : SETTLE_MS;
    const isSettled = now - startedAt > settleMs;
    if (!engine || !isSettled || isStopping) {
      return {
        isWanted: holder.isHolding(),
        // Who else there is is not known yet: the engines nearby are the likeliest to be held here.
        isCandidate: engine !== undefined && !isStopping &&
          engine.failureDomain === fleet.self.failureDomain,
        hearsMajority: false,
        isUnheld: false,
        peers: this.#listPeers(now),
        // Who holds an engine already, by a quick claim or a handover, goes on with it.
        fetchShare: holder.isHolding()
          ? fetchShare
          : { ...fetchShare, canFetch: false },
      };
    }
    const isWanted = this.#isWanted(engine, holder, now);
    return {
      isWanted,
      isCandidate: isWanted || this.#isObserver(engine, now),
      hearsMajority: fleet.isHearingMajority(engine.failureDomain, now),
      isUnheld,
      peers: this.#listPeers(now),
      fetchShare,
    };
  }

  /** Returns the daemons that may have runs at an engine; undefined where not every one is heard. */
  #listPeers(now: Milliseconds): string[] | undefined {
    const { fleet } = this.#options;
    if (!fleet.isFullMesh()) return undefined;
    const peers = fleet.listLiving(now).map(({ sender }) => sender.id);
    return [fleet.self.id, ...peers];
  }

  /** Remembers which engines a newcomer held; nobody asks an older daemon. */
  recordHeld(holder: HeldOrNot, now: Milliseconds): void {
    if (!holder.isHolding() || !this.#isNewcomer(now)) return;
    this.#everHeld.add(holder.engineId);
  }

  /** Returns the engines that were held here since the start, undefined when that was long ago. */
  listNewcomerHeld(now: Milliseconds): string[] | undefined {
    return this.#isNewcomer(now) ? [...this.#everHeld] : undefined;
  }

  #isNewcomer(now: Milliseconds): boolean {
    return now - this.#options.startedAt < NEWCOMER_MS;
  }

  /** Returns whether neither this daemon nor a peer has held the engine since all of them started. */
  #isUnheld(
    engine: EngineIdentity,
    { observedAt }: HeldOrNot,
    now: Milliseconds,
  ): boolean {
    const { fleet, seedIps } = this.#options;
    return observedAt !== undefined && this.#isNewcomer(now) &&
      !this.#everHeld.has(engine.id) &&
      fleet.isUnheld(engine, { since: observedAt, seedIps }, now);
  }

  #isWanted(
    engine: EngineIdentity,
    holder: HeldOrNot,
    now: Milliseconds,
  ): boolean {
    const { fleet } = this.#options;
    const selfId = fleet.self.id;
    const otherHolder = fleet.findHolder(engine.id, now);
    if (otherHolder === undefined) {
      return holder.isHolding() ||
        fleet.rankHolders(engine, false, now)[0]?.id === selfId;
    }
    if (!holder.isHolding()) return false;
    const ranked = fleet.rankHolders(engine, false, now);
    const own = ranked.findIndex((member) => member.id === selfId);
    const other = ranked.findIndex((member) => member.id === otherHolder);
    if (own < 0 && other < 0) return selfId < otherHolder;
    return own >= 0 && (other < 0 || own < other);
  }

  /** The first in rank observe an engine that nobody holds, so that a term has passed when one must claim it. */
  #isObserver(engine: EngineIdentity, now: Milliseconds): boolean {
    const { fleet } = this.#options;
    if (fleet.findHolder(engine.id, now) !== undefined) return false;
    return fleet.rankHolders(engine, false, now).slice(0, OBSERVERS)
      .some((member) => member.id === fleet.self.id);
  }
}
