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
  /**
   * When a request for the adapter was last considered for a grant, or its load
   * ordered.
   */
  lastUsedAt: Milliseconds;
  /** When the upstream's state was last read while the adapter was leased. */
  lastLeasedAt: Milliseconds;
}

export class SlotTable {
  #capacity: number;
  readonly #slots = new Map<string, Slot>();
  /**
   * When adapters left their slots, until a reading that started later is
   * reconciled; an earlier one may still report them.
   */
  readonly #freedAt = new Map<string, Milliseconds>();

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

  /** Assigns a free slot to an adapter whose load is ordered. */
  addLoading(adapterKey: string, now: Milliseconds): void {
    this.#slots.set(adapterKey, {
      adapterKey,
      state: slotChart.initial,
      changedAt: now,
      lastUsedAt: now,
      lastLeasedAt: Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Applies a trigger to the slot's state machine; one that its state does not
   * accept changes nothing.
   */
  applyTrigger(
    adapterKey: string,
    trigger: SlotTrigger,
    now: Milliseconds,
  ): void {
    const slot = this.#slots.get(adapterKey);
    if (!slot) return;
    const next = slotChart.getNext(slot.state, trigger);
    if (next === undefined) return;
    slot.state = next;
    slot.changedAt = now;
    if (next !== "free") return;
    this.#slots.delete(adapterKey);
    this.#freedAt.set(adapterKey, now);
  }

  applyTriggerToAll(trigger: SlotTrigger, now: Milliseconds): void {
    for (const adapterKey of [...this.#slots.keys()]) {
      this.applyTrigger(adapterKey, trigger, now);
    }
  }

  /**
   * Reconciles the slots with a reading that started at `readAt`. Returns
   * whether it shows a change that this owner did not order.
   */
  reconcile(
    state: UpstreamStateStructure,
    readAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    let hasExternalChange = false;
    const reportedKeys = new Set(
      state.residents.map((entry) => entry.adapterKey),
    );
    for (const slot of [...this.#slots.values()]) {
      if (slot.changedAt >= readAt) continue;
      const isReported = reportedKeys.has(slot.adapterKey);
      if (slot.state === "resident" && !isReported) hasExternalChange = true;
      const trigger = isReported ? "seenResident" : "seenAbsent";
      this.applyTrigger(slot.adapterKey, trigger, now);
    }
    for (const adapterKey of reportedKeys) {
      if (this.#slots.has(adapterKey)) continue;
      const freedAt = this.#freedAt.get(adapterKey);
      if (freedAt !== undefined && freedAt >= readAt) continue;
      hasExternalChange = true;
      this.#slots.set(adapterKey, {
        adapterKey,
        state: "resident",
        changedAt: now,
        lastUsedAt: now,
        lastLeasedAt: Number.NEGATIVE_INFINITY,
      });
    }
    this.#dropFreedBefore(readAt);
    return hasExternalChange;
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

  #dropFreedBefore(readAt: Milliseconds): void {
    for (const [adapterKey, freedAt] of this.#freedAt) {
      if (freedAt < readAt) this.#freedAt.delete(adapterKey);
    }
  }
}
