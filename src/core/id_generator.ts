/** Generates identifiers that are unique across daemons and incarnations. */
export class IdGenerator {
  readonly #scope: string;
  #lastId = 0;

  constructor(options: { selfId: string; incarnation: string }) {
    this.#scope = `${options.selfId}/${options.incarnation}`;
  }

  createId(prefix: string): string {
    this.#lastId += 1;
    return `${prefix}/${this.#scope}/${this.#lastId}`;
  }
}
