/**
 * Selects the order with which a daemon proves that no other daemon orders an
 * engine. An engine rejects an order that expects an outdated sequence number,
 * but it confirms an order that is already fulfilled, whatever sequence number
 * the order expects: the load of an adapter that is present, or the eviction of
 * one that is absent. Two daemons that claim an engine at the same time must
 * therefore not send the same order. Each claimant has an adapter of its own to
 * load, and the engine's adapters are divided into a share for each likely
 * claimant and a common one, from which the claimants evict in turns.
 */
import {
  buildEvictionOrder,
  type EngineOrder,
} from "../admission/admission_controller.ts";
import { findRendezvousWinner, rankByRendezvous } from "../hashing.ts";
import { formatAdapterPath } from "../placement/adapter_path.ts";

/** Owner of the share from which all claimants evict in turns. */
const COMMON = undefined;

/** State of the engine and of its claimants that the selection depends on. */
export interface ProvingOrderInput {
  selfId: string;
  /**
   * Daemons that may claim the engine at the same time; may include this one.
   * Empty if they are not known: all adapters are then in the common share.
   */
  claimants: readonly string[];
  /**
   * Whether no other daemon can have claimed the engine, so that any adapter may
   * be evicted.
   */
  mayEvictAny: boolean;
  /** Whether it is this daemon's turn to evict from the common share. */
  mayEvictCommon: boolean;
  /** Base model of the adapters. */
  model: string;
  /**
   * Adapter that other daemons are unlikely to select; undefined if the model
   * has no adapters.
   */
  ownAdapter: string | undefined;
  /**
   * Adapters to divide: those that the engine had or was loading at the count
   * that the claimants expect, in use or not, so that all divide the same list.
   */
  dividedPaths: readonly string[];
  /** Rendezvous hashing key of the division, the same for all claimants. */
  divisionKey: string;
  /** Resident adapters that no request uses. */
  idlePaths: readonly string[];
  /** Whether an adapter slot is free. */
  hasFreeSlot: boolean;
  hasAdapter: (adapterPath: string) => boolean;
}

/**
 * Returns the order, or undefined while the engine has neither a free adapter
 * slot nor an idle adapter that may be evicted.
 */
export function selectProvingOrder(
  input: ProvingOrderInput,
): EngineOrder | undefined {
  const { model, ownAdapter, hasFreeSlot, hasAdapter } = input;
  const ownPath = formatAdapterPath(model, ownAdapter ?? "");
  if (ownAdapter !== undefined && hasFreeSlot && !hasAdapter(ownPath)) {
    return {
      kind: "load",
      model,
      adapter: ownAdapter,
      adapterPath: ownPath,
      version: undefined,
    };
  }
  const own = selectVictim(input, listShare(input, input.selfId));
  if (own) return own;
  if (input.mayEvictAny) return selectVictim(input, input.idlePaths);
  if (!input.mayEvictCommon) return undefined;
  return selectVictim(input, listShare(input, COMMON));
}

/**
 * Returns the idle adapters of an owner's share. Shares differ by one adapter at
 * most. If there are fewer adapters than claimants, the common share comes
 * first, so that each claimant may evict some adapter.
 */
function listShare(
  { claimants, dividedPaths, divisionKey, idlePaths }: ProvingOrderInput,
  owner: string | undefined,
): string[] {
  const isScarce = dividedPaths.length < claimants.length;
  const owners = isScarce ? [COMMON, ...claimants] : [...claimants, COMMON];
  const paths = rankDividedPaths(divisionKey, dividedPaths)
    .filter((_, rank) => owners[rank % owners.length] === owner);
  return idlePaths.filter((path) => paths.includes(path));
}

/** Returns the adapters in the order in which they are divided. */
export function rankDividedPaths(
  divisionKey: string,
  dividedPaths: readonly string[],
): string[] {
  const candidates = dividedPaths.map((id) => ({ id }));
  return rankByRendezvous(divisionKey, candidates).map(({ id }) => id);
}

function selectVictim(
  { selfId }: ProvingOrderInput,
  paths: readonly string[],
): EngineOrder | undefined {
  const victim = findRendezvousWinner(selfId, paths.map((id) => ({ id })))?.id;
  return victim === undefined ? undefined : buildEvictionOrder(victim);
}
