/** Seeded random numbers for the delays and choices of the simulation. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer between the bounds, both inclusive. */
  drawInteger(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  /** Returns true with the given probability in percent. */
  drawBoolean(percent: number): boolean {
    return this.drawInteger(1, 100) <= percent;
  }

  drawBytes(length: number): Uint8Array {
    return Uint8Array.from({ length }, () => this.drawInteger(0, 255));
  }
}
