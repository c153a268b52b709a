/** Stable 32-bit hashes (xxHash) and rendezvous hashing. */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Returns the unsigned 32-bit xxHash of the text. */
export function hashText(text: string, seed = 0): number {
  return h32(text, seed);
}

/**
 * Returns the candidates sorted by descending rendezvous weight for the key.
 */
export function rankByRendezvous<T extends { id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      weight: hashText(`${key}\u0000${candidate.id}`),
    }))
    .sort((a, b) =>
      b.weight - a.weight || (a.candidate.id < b.candidate.id ? -1 : 1)
    )
    .map((entry) => entry.candidate);
}

/**
 * Returns the candidate with the highest rendezvous weight, or undefined when
 * there is none.
 */
export function findRendezvousWinner<T extends { id: string }>(
  key: string,
  candidates: Iterable<T>,
): T | undefined {
  let winner: T | undefined;
  let winnerWeight = -1;
  for (const candidate of candidates) {
    const weight = hashText(`${key}\u0000${candidate.id}`);
    const isHeavier = weight > winnerWeight ||
      (weight === winnerWeight && winner !== undefined &&
        candidate.id < winner.id);
    if (!isHeavier) continue;
    winner = candidate;
    winnerWeight = weight;
  }
  return winner;
}
