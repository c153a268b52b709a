/** Popularity of adapters: a Zipf law over ranks whose holders change. */
import type { Random } from "./random.ts";

export interface PopularityLawOptions {
  adapters: number;
  zipfExponent: number;
}

export class PopularityLaw {
  readonly #cumulative: number[] = [];
  readonly #adapterByRank: number[];
  readonly #random: Random;

  constructor(options: PopularityLawOptions, random: Random) {
    this.#random = random;
    let sum = 0;
    for (let rank = 1; rank <= options.adapters; rank += 1) {
      sum += rank ** -options.zipfExponent;
      this.#cumulative.push(sum);
    }
    this.#adapterByRank = Array.from(
      { length: options.adapters },
      (_, index) => index,
    );
    for (let index = options.adapters - 1; index > 0; index -= 1) {
      this.changeRanks(index, Math.floor(random() * (index + 1)));
    }
  }

  changeRanks(a: number, b: number): void {
    const kept = this.#adapterByRank[a]!;
    this.#adapterByRank[a] = this.#adapterByRank[b]!;
    this.#adapterByRank[b] = kept;
  }

  /** Lets the adapters of that many drawn pairs change places. */
  changeSomeRanks(pairs: number): void {
    for (let count = 0; count < pairs; count += 1) {
      this.changeRanks(this.#drawRank(), this.#drawRank());
    }
  }

  /** Draws an adapter, the popular ones more often. */
  draw(): number {
    const target = this.#random() * this.#cumulative.at(-1)!;
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#cumulative[middle]! < target) low = middle + 1;
      else high = middle;
    }
    return this.#adapterByRank[low]!;
  }

  #drawRank(): number {
    return Math.floor(this.#random() * this.#adapterByRank.length);
  }
}
