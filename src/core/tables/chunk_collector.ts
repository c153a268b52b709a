/** Collects the chunks of one revision from one peer, asking for each in turn. */
import type { ChunkPosition } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** Time without a chunk after which it is asked for again, and then given up. */
const CHUNK_TIMEOUT_MS = 1_000;
const MAX_REPEATS = 2;

/** A chunk to ask for. */
export interface WantedChunk {
  from: string;
  revision: number;
  index: number;
}

interface Collection<Chunk> {
  from: string;
  position: ChunkPosition;
  chunks: Chunk[];
  askedAt: Milliseconds;
  repeats: number;
}

/** Every chunk of one revision. */
export interface CollectedRevision<Chunk> {
  revision: number;
  digest: string;
  chunks: Chunk[];
}

export class ChunkCollector<Chunk extends { position: ChunkPosition }> {
  #collection: Collection<Chunk> | undefined;

  isCollecting(): boolean {
    return this.#collection !== undefined;
  }

  /**
   * Adds a chunk. A first chunk begins a collection unless one is under way;
   * any other is taken only as the next of its own collection.
   * @returns The revision when it is complete.
   */
  addChunk(
    from: string,
    chunk: Chunk,
    now: Milliseconds,
  ): CollectedRevision<Chunk> | undefined {
    const { position } = chunk;
    const known = this.#collection;
    const isOther = known !== undefined &&
      (known.from !== from || known.position.revision !== position.revision);
    if (isOther && !(known.from === from && position.index === 0)) return;
    const collection: Collection<Chunk> = known && !isOther ? known : {
      from,
      position,
      chunks: [],
      askedAt: now,
      repeats: 0,
    };
    if (position.index !== collection.chunks.length) return;
    collection.chunks.push(chunk);
    collection.askedAt = now;
    collection.repeats = 0;
    this.#collection = collection;
    if (collection.chunks.length < collection.position.count) return;
    this.#collection = undefined;
    const { revision, digest } = collection.position;
    return { revision, digest, chunks: collection.chunks };
  }

  /** Returns the chunk to ask for next, after one was added. */
  getNext(): WantedChunk | undefined {
    if (!this.#collection) return undefined;
    const { from, position, chunks } = this.#collection;
    return { from, revision: position.revision, index: chunks.length };
  }

  /** Returns the chunk to ask for again; gives the collection up after some repeats. */
  tick(now: Milliseconds): WantedChunk | undefined {
    const collection = this.#collection;
    if (!collection || now - collection.askedAt < CHUNK_TIMEOUT_MS) {
      return undefined;
    }
    if (collection.repeats >= MAX_REPEATS) {
      this.#collection = undefined;
      return undefined;
    }
    collection.repeats += 1;
    collection.askedAt = now;
    return this.getNext();
  }
}
