/** Event queue of a simulation in virtual time: a binary heap of actions. */

interface ScheduledAction {
  at: number;
  sequence: number;
  run: (now: number) => void;
}

export class EventHeap {
  readonly #heap: ScheduledAction[] = [];
  #sequence = 0;

  /**
   * Schedules an action. Actions of the same time run in the order in which
   * they were scheduled.
   */
  schedule(at: number, run: (now: number) => void): void {
    this.#sequence += 1;
    this.#heap.push({ at, sequence: this.#sequence, run });
    this.#moveUp(this.#heap.length - 1);
  }

  /** Runs all actions whose time is before the end, in order of time. */
  runUntil(end: number): void {
    for (
      let action = this.#takeFirst(end);
      action !== undefined;
      action = this.#takeFirst(end)
    ) {
      action.run(action.at);
    }
  }

  #takeFirst(end: number): ScheduledAction | undefined {
    const first = this.#heap[0];
    if (first === undefined || first.at >= end) return undefined;
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#moveDown(0);
    }
    return first;
  }

  #moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #moveDown(start: number): void {
    let index = start;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = index;
      if (left < this.#heap.length && this.#isBefore(left, first)) first = left;
      if (right < this.#heap.length && this.#isBefore(right, first)) {
        first = right;
      }
      if (first === index) return;
      this.#swap(index, first);
      index = first;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const first = this.#heap[a]!;
    const second = this.#heap[b]!;
    return first.at < second.at ||
      (first.at === second.at && first.sequence < second.sequence);
  }

  #swap(a: number, b: number): void {
    const action = this.#heap[a]!;
    this.#heap[a] = this.#heap[b]!;
    this.#heap[b] = action;
  }
}
