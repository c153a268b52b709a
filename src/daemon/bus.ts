/** The bus over which the tasks of a daemon exchange events and effects. */
import Emittery from "emittery";
import type { Effect } from "../core/effects.ts";
import type { CoreEvent } from "../core/events.ts";

type EffectChannels = {
  [Kind in Effect["kind"]]: Extract<Effect, { kind: Kind }>;
};

/** Channels of the bus: events for the core, and each kind of effect for the task that carries it out. */
export interface BusChannels extends EffectChannels {
  event: CoreEvent;
}

export type Bus = Emittery<BusChannels>;

export function createBus(): Bus {
  return new Emittery<BusChannels>();
}
