/** Gives out identifiers that no other daemon or incarnation makes. */
export class IdSource {
  readonly #origin: string;
  #lastId = 0;

  constructor(options: { selfId: string; incarnation: string }) {
    this.#origin = `${options.selfId}/${options.incarnation}`;
  }

  createId(prefix: string): string {
    this.#lastId += 1;
    return `${prefix}/${this.#origin}/${this.#lastId}`;
  }
}
