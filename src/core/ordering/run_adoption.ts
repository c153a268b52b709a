/**
 * Whether all daemons have told a new holder of the runs that they have at its
 * engine. Load pattern: after a change of holder every slot of the engine is taken,
 * and nothing can be loaded before it is known which adapters are in use.
 */
export class RunAdoption {
  /** Runs told so far, by the daemons that are still to tell of some. */
  #pendingPeers: Map<string, number> | undefined;

  /** @param peers daemons that may have runs; undefined where not all are known. */
  begin(peers: readonly string[] | undefined): void {
    this.#pendingPeers = peers && new Map(peers.map((peer) => [peer, 0]));
  }

  /** Notes that a daemon has told of some of its runs, and how many it has in all. */
  recordReported(peer: string, runs: number, total: number): void {
    const before = this.#pendingPeers?.get(peer);
    if (before === undefined) return;
    if (before + runs >= total) this.#pendingPeers?.delete(peer);
    else this.#pendingPeers?.set(peer, before + runs);
  }

  isComplete(): boolean {
    return this.#pendingPeers !== undefined && this.#pendingPeers.size === 0;
  }
}
