/**
 * Selects the order with which a daemon proves that no other daemon orders an
 * engine. An engine rejects an order that expects an outdated sequence number,
 * but it confirms an order that is already fulfilled, whatever sequence number
 * the order expects: the load of an adapter that is present, or the eviction of
 * one that is absent. Two daemons that claim an engine at the same time must
 * therefore not send the same order. The idle adapters that may be evicted are
 * divided among the likely claimants, and each claimant has an adapter of its
 * own to load.
 */
import {
  buildEvictionOrder,
  type EngineOrder,
} from "../admission/admission_controller.ts";
import { findRendezvousWinner } from "../hashing.ts";
import { formatAdapterPath } from "../placement/adapter_path.ts";

/** State of the engine and of its claimants that the selection depends on. */
export interface ProvingOrderInput {
  selfId: string;
  /**
   * Daemons that may claim the engine at the same time; may include this one.
   */
  claimants: readonly string[];
  /**
   * Whether an adapter from another claimant's share may be evicted if this
   * daemon's own share has none left.
   */
  mayEvictAny: boolean;
  /** Base model of the adapters. */
  model: string;
  /**
   * Adapter that other daemons are unlikely to select; undefined if the model
   * has no adapters.
   */
  ownAdapter: string | undefined;
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
  const own = selectVictim(input, listOwnShare(input));
  if (own || !input.mayEvictAny) return own;
  return selectVictim(input, input.idlePaths);
}

function listOwnShare(input: ProvingOrderInput): string[] {
  const { selfId, claimants, idlePaths } = input;
  const candidates = [...new Set([...claimants, selfId])].map((id) => ({ id }));
  return idlePaths.filter((path) =>
    findRendezvousWinner(path, candidates)?.id === selfId
  );
}

function selectVictim(
  { selfId }: ProvingOrderInput,
  paths: readonly string[],
): EngineOrder | undefined {
  const victim = findRendezvousWinner(selfId, paths.map((id) => ({ id })))?.id;
  return victim === undefined ? undefined : buildEvictionOrder(victim);
}
