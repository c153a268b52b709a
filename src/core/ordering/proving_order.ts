/**
 * Chooses the order by which a daemon proves that nobody else orders an engine.
 * An engine refuses an order against an old count, but confirms one that is
 * fulfilled already, whatever it expects: the load of an adapter that it holds,
 * the eviction of one that it does not. So two daemons that take an engine over
 * at once must not give the same order: the adapters to evict are divided among
 * those that are likely to, and each has an adapter of its own to load.
 */
import {
  buildEvictionOrder,
  type EngineOrder,
} from "../admission/admission_controller.ts";
import { findRendezvousWinner } from "../hashing.ts";
import { formatAdapterPath } from "../placement/adapter_path.ts";

/** What the engine holds, as far as it bears on the choice. */
export interface ProvingOrderInput {
  selfId: string;
  /** Daemons that may take the engine over at the same time, this one perhaps among them. */
  claimants: readonly string[];
  /** Whether an adapter of a rival's share may be evicted, when none is left of the own. */
  mayEvictAny: boolean;
  /** Model of the adapters. */
  model: string;
  /** Adapter that hardly any other daemon names; undefined when the model has none. */
  ownAdapter: string | undefined;
  /** Adapters that are resident and in nobody's use. */
  idlePaths: readonly string[];
  /** Whether a slot is free. */
  hasFreeSlot: boolean;
  hasAdapter: (adapterPath: string) => boolean;
}

/** Returns the order, or undefined while the engine has no room and nothing idle that may go. */
export function selectProvingOrder(
  situation: ProvingOrderInput,
): EngineOrder | undefined {
  const { model, ownAdapter, hasFreeSlot: hasRoom, hasAdapter: isHeld } =
    situation;
  const ownPath = formatAdapterPath(model, ownAdapter ?? "");
  if (ownAdapter !== undefined && hasRoom && !isHeld(ownPath)) {
    return {
      kind: "load",
      model,
      adapter: ownAdapter,
      adapterPath: ownPath,
      version: undefined,
    };
  }
  const own = selectVictim(situation, listOwnShare(situation));
  if (own || !situation.mayEvictAny) return own;
  return selectVictim(situation, situation.idlePaths);
}

function listOwnShare(situation: ProvingOrderInput): string[] {
  const { selfId, claimants: rivals, idlePaths } = situation;
  const sharers = [...new Set([...rivals, selfId])].map((id) => ({ id }));
  return idlePaths.filter((path) =>
    findRendezvousWinner(path, sharers)?.id === selfId
  );
}

function selectVictim(
  { selfId }: ProvingOrderInput,
  paths: readonly string[],
): EngineOrder | undefined {
  const victim = findRendezvousWinner(selfId, paths.map((id) => ({ id })))?.id;
  return victim === undefined ? undefined : buildEvictionOrder(victim);
}
