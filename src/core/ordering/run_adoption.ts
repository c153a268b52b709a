/**
 * Tracks whether all daemons have reported their running requests to the new
 * owner of an engine. Load pattern: when the owner changes, every adapter slot
 * of the engine is taken, and the new owner cannot load anything until it knows
 * which adapters are in use.
 */
export class RunAdoption {
  /**
   * Number of runs reported so far by each daemon that has more to report;
   * undefined if not all daemons are known.
   */
  #pendingPeers: Map<string, number> | undefined;

  /**
   * @param peers daemons that may have runs on the engine; undefined if not all
   * are known.
   */
  begin(peers: readonly string[] | undefined): void {
    this.#pendingPeers = peers && new Map(peers.map((peer) => [peer, 0]));
  }

  /**
   * Records that a daemon has reported some of its runs, and how many it has in
   * total.
   */
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
