/** One line for each thing that happens in a run: time, who, what. */

export class Trace {
  readonly #lines: string[] = [];
  readonly #readTime: () => number;

  constructor(readTime: () => number) {
    this.#readTime = readTime;
  }

  add(who: string, what: string): void {
    const time = `${(this.#readTime() / 1_000).toFixed(3)}s`.padStart(9);
    this.#lines.push(`${time}  ${who.padEnd(9)} ${what}`);
  }

  getLines(): readonly string[] {
    return this.#lines;
  }
}
