/**
 * State charts defined as data. At startup, xstate evaluates each chart once into
 * a transition table, in which transitions are then looked up.
 */
import { createMachine, getInitialSnapshot, transition } from "xstate";

/**
 * A chart without nested states: the triggers that each state accepts, with
 * their target states.
 */
export interface StateChartDefinition<
  State extends string,
  Trigger extends string,
> {
  id: string;
  initial: State;
  states: Record<
    State,
    { on: Partial<Record<Trigger, { target: State }>> }
  >;
}

/** Looks up the transitions of one chart. */
export class StateChart<State extends string, Trigger extends string> {
  readonly initial: State;
  readonly #id: string;
  readonly #transitions = new Map<string, State>();

  constructor(definition: StateChartDefinition<State, Trigger>) {
    this.#id = definition.id;
    this.initial = definition.initial;
    for (const state of Object.keys(definition.states) as State[]) {
      const machine = createMachine({ ...definition, initial: state });
      const start = getInitialSnapshot(machine);
      const triggers = Object.keys(definition.states[state].on) as Trigger[];
      for (const trigger of triggers) {
        const [next] = transition(machine, start, { type: trigger });
        this.#transitions.set(
          createTransitionKey(state, trigger),
          next.value as State,
        );
      }
    }
  }

  /** Returns the next state, or undefined if the state does not accept the trigger. */
  getNext(state: State, trigger: Trigger): State | undefined {
    return this.#transitions.get(createTransitionKey(state, trigger));
  }

  getNextOrThrow(state: State, trigger: Trigger): State {
    const next = this.getNext(state, trigger);
    if (next !== undefined) return next;
    throw new Error(
      `Expected chart ${this.#id} to accept trigger ${trigger} in state ${state}, found no transition`,
    );
  }
}

function createTransitionKey(state: string, trigger: string): string {
  return `${state}\u0000${trigger}`;
}
