/** Seeded random numbers for the model's delays and choices. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer between both bounds, which are included. */
  getInteger(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  /** Returns true with the given chance in a hundred. */
  hasChance(percent: number): boolean {
    return this.getInteger(1, 100) <= percent;
  }

  getBytes(length: number): Uint8Array {
    return Uint8Array.from({ length }, () => this.getInteger(0, 255));
  }
}
