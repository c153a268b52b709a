/** Collects the chunks of one revision from one peer, asking for each in turn. */
import type { ChunkPosition } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** Time without a chunk after which it is asked for again, and then given up. */
const CHUNK_TIMEOUT_MS = 1_000;
const MAX_RETRIES = 2;

/** A chunk to ask for. */
export interface RequestedChunk {
  from: string;
  revision: number;
  index: number;
}

interface Transfer<Chunk> {
  from: string;
  position: ChunkPosition;
  chunks: Chunk[];
  requestedAt: Milliseconds;
  retries: number;
}

/** Every chunk of one revision. */
export interface CollectedRevision<Chunk> {
  revision: number;
  digest: string;
  chunks: Chunk[];
}

export class ChunkCollector<Chunk extends { position: ChunkPosition }> {
  #transfer: Transfer<Chunk> | undefined;

  isCollecting(): boolean {
    return this.#transfer !== undefined;
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
    const current = this.#transfer;
    const isOther = current !== undefined &&
      (current.from !== from ||
        current.position.revision !== position.revision);
    if (isOther && !(current.from === from && position.index === 0)) return;
    const transfer: Transfer<Chunk> = current && !isOther ? current : {
      from,
      position,
      chunks: [],
      requestedAt: now,
      retries: 0,
    };
    if (position.index !== transfer.chunks.length) return;
    transfer.chunks.push(chunk);
    transfer.requestedAt = now;
    transfer.retries = 0;
    this.#transfer = transfer;
    if (transfer.chunks.length < transfer.position.count) return;
    this.#transfer = undefined;
    const { revision, digest } = transfer.position;
    return { revision, digest, chunks: transfer.chunks };
  }

  /** Returns the chunk to ask for next, after one was added. */
  getNextChunk(): RequestedChunk | undefined {
    if (!this.#transfer) return undefined;
    const { from, position, chunks } = this.#transfer;
    return { from, revision: position.revision, index: chunks.length };
  }

  /** Returns the chunk to ask for again; gives the collection up after some repeats. */
  tick(now: Milliseconds): RequestedChunk | undefined {
    const collection = this.#transfer;
    if (!collection || now - collection.requestedAt < CHUNK_TIMEOUT_MS) {
      return undefined;
    }
    if (collection.retries >= MAX_RETRIES) {
      this.#transfer = undefined;
      return undefined;
    }
    collection.retries += 1;
    collection.requestedAt = now;
    return this.getNextChunk();
  }
}
