/** Virtual time: a heap of actions, run in the order of their times. */

interface TimedAction {
  at: number;
  sequence: number;
  run: (now: number) => void;
}

export class EventHeap {
  readonly #heap: TimedAction[] = [];
  #sequence = 0;

  /** Adds an action; those of one time run in the order in which they were added. */
  add(at: number, run: (now: number) => void): void {
    this.#sequence += 1;
    this.#heap.push({ at, sequence: this.#sequence, run });
    this.#moveUp(this.#heap.length - 1);
  }

  /** Runs every action before the end. */
  runUntil(end: number): void {
    for (
      let action = this.#takeFirst(end);
      action !== undefined;
      action = this.#takeFirst(end)
    ) {
      action.run(action.at);
    }
  }

  #takeFirst(end: number): TimedAction | undefined {
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
      this.#changePlaces(index, parent);
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
      this.#changePlaces(index, first);
      index = first;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const first = this.#heap[a]!;
    const second = this.#heap[b]!;
    return first.at < second.at ||
      (first.at === second.at && first.sequence < second.sequence);
  }

  #changePlaces(a: number, b: number): void {
    const kept = this.#heap[a]!;
    this.#heap[a] = this.#heap[b]!;
    this.#heap[b] = kept;
  }
}
