/**
 * Event queue of the simulation, with a simulated clock. Steps run in the order
 * of their times; steps of the same time run in the order in which they were
 * scheduled.
 */

interface ScheduledStep {
  at: number;
  sequence: number;
  run: () => void;
}

export class EventQueue {
  readonly #heap: ScheduledStep[] = [];
  #now = 0;
  #lastSequence = 0;

  /** Simulated time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  schedule(delayMs: number, run: () => void): void {
    this.#lastSequence += 1;
    const at = this.#now + Math.max(0, delayMs);
    this.#push({ at, sequence: this.#lastSequence, run });
  }

  /**
   * Runs every step that is due within the time span, then sets the clock to
   * its end.
   */
  advance(spanMs: number): void {
    const until = this.#now + spanMs;
    for (
      let next = this.#heap[0];
      next !== undefined && next.at <= until;
      next = this.#heap[0]
    ) {
      this.#pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = until;
  }

  #push(step: ScheduledStep): void {
    let index = this.#heap.length;
    this.#heap.push(step);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(step, this.#heap[parent]!)) break;
      this.#heap[index] = this.#heap[parent]!;
      index = parent;
    }
    this.#heap[index] = step;
  }

  #pop(): void {
    const last = this.#heap.pop()!;
    const size = this.#heap.length;
    if (size === 0) return;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= size) break;
      const right = child + 1;
      if (right < size && isBefore(this.#heap[right]!, this.#heap[child]!)) {
        child = right;
      }
      if (!isBefore(this.#heap[child]!, last)) break;
      this.#heap[index] = this.#heap[child]!;
      index = child;
    }
    this.#heap[index] = last;
  }
}

function isBefore(a: ScheduledStep, b: ScheduledStep): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
