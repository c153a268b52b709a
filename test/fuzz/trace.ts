/** Log of a run: a line for each event, with its time, source and text. */

export class Trace {
  readonly #lines: string[] = [];
  readonly #readTime: () => number;

  constructor(readTime: () => number) {
    this.#readTime = readTime;
  }

  add(source: string, text: string): void {
    const time = `${(this.#readTime() / 1_000).toFixed(3)}s`.padStart(9);
    this.#lines.push(`${time}  ${source.padEnd(9)} ${text}`);
  }

  getLines(): readonly string[] {
    return this.#lines;
  }
}
