/**
 * Popularity of adapters: a Zipf distribution over ranks. Which adapter has a
 * rank can change over time.
 */
import type { Random } from "./random.ts";

export interface ZipfPopularityOptions {
  adapters: number;
  zipfExponent: number;
}

export class ZipfPopularity {
  readonly #cumulative: number[] = [];
  readonly #adapterByRank: number[];
  readonly #random: Random;

  constructor(options: ZipfPopularityOptions, random: Random) {
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
      this.swapRanks(index, Math.floor(random() * (index + 1)));
    }
  }

  swapRanks(a: number, b: number): void {
    const adapter = this.#adapterByRank[a]!;
    this.#adapterByRank[a] = this.#adapterByRank[b]!;
    this.#adapterByRank[b] = adapter;
  }

  /** Swaps the adapters of randomly drawn pairs of ranks. */
  swapRandomRanks(pairs: number): void {
    for (let count = 0; count < pairs; count += 1) {
      this.swapRanks(this.#drawRank(), this.#drawRank());
    }
  }

  /** Draws an adapter with the probability of its rank. */
  drawAdapter(): number {
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
