/** The adapter slots of one upstream. */
import {
  slotChart,
  type SlotState,
  type SlotTrigger,
} from "../../charts/slot_chart.ts";
import type { Milliseconds, UpstreamStateStructure } from "../structures.ts";

export interface Slot {
  adapterKey: string;
  state: SlotState;
  changedAt: Milliseconds;
  /** When a run on the adapter was last permitted or its load ordered. */
  lastUsedAt: Milliseconds;
}

export class SlotTable {
  #capacity: number;
  readonly #slots = new Map<string, Slot>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  setCapacity(capacity: number): void {
    this.#capacity = capacity;
  }

  getSlot(adapterKey: string): Slot | undefined {
    return this.#slots.get(adapterKey);
  }

  isResident(adapterKey: string): boolean {
    return this.#slots.get(adapterKey)?.state === "resident";
  }

  hasFreeSlot(): boolean {
    return this.#slots.size < this.#capacity;
  }

  countFreeSlots(): number {
    return Math.max(0, this.#capacity - this.#slots.size);
  }

  /** Takes a free slot for an adapter whose load is ordered. */
  addLoading(adapterKey: string, now: Milliseconds): void {
    this.#slots.set(adapterKey, {
      adapterKey,
      state: slotChart.initial,
      changedAt: now,
      lastUsedAt: now,
    });
  }

  /** Moves the slot along its chart; a trigger that its state does not take changes nothing. */
  apply(adapterKey: string, trigger: SlotTrigger, now: Milliseconds): void {
    const slot = this.#slots.get(adapterKey);
    if (!slot) return;
    const next = slotChart.getNext(slot.state, trigger);
    if (next === undefined) return;
    slot.state = next;
    slot.changedAt = now;
    if (next === "free") this.#slots.delete(adapterKey);
  }

  applyToAll(trigger: SlotTrigger, now: Milliseconds): void {
    for (const adapterKey of [...this.#slots.keys()]) {
      this.apply(adapterKey, trigger, now);
    }
  }

  /** Brings the slots in line with a reading that began at `readAt`. */
  reconcile(
    state: UpstreamStateStructure,
    readAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const seen = new Set(state.residents.map((entry) => entry.adapterKey));
    for (const slot of [...this.#slots.values()]) {
      if (slot.changedAt >= readAt) continue;
      const trigger = seen.has(slot.adapterKey) ? "seenResident" : "seenAbsent";
      this.apply(slot.adapterKey, trigger, now);
    }
    for (const adapterKey of seen) {
      if (this.#slots.has(adapterKey)) continue;
      this.#slots.set(adapterKey, {
        adapterKey,
        state: "resident",
        changedAt: now,
        lastUsedAt: now,
      });
    }
  }

  getByState(state: SlotState): Slot[] {
    return [...this.#slots.values()].filter((slot) => slot.state === state);
  }

  getSlots(): Slot[] {
    return [...this.#slots.values()];
  }

  getCapacity(): number {
    return this.#capacity;
  }
}
