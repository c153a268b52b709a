/** The event bus between the core of a daemon and its tasks. */
import Emittery from "emittery";
import type { Effect } from "../core/effects.ts";
import type { CoreEvent } from "../core/events.ts";

type EffectChannels = {
  [Kind in Effect["kind"]]: Extract<Effect, { kind: Kind }>;
};

/** Channels of the bus: one for events to the core, and one for each kind of effect, on which the task that executes it listens. */
export interface BusChannels extends EffectChannels {
  event: CoreEvent;
}

export type Bus = Emittery<BusChannels>;

export function createBus(): Bus {
  return new Emittery<BusChannels>();
}
