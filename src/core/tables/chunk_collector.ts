/**
 * Collects the chunks of a full transfer of one revision from one peer,
 * requested one after another.
 */
import type { ChunkPosition } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/**
 * Time after which the request for a chunk is retried or, after `MAX_RETRIES`,
 * the transfer is aborted.
 */
const CHUNK_TIMEOUT_MS = 1_000;
const MAX_RETRIES = 2;

/** A chunk to request from a peer. */
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

/** All chunks of one revision. */
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
   * Adds a chunk. The first chunk of a revision starts a transfer, unless one
   * from another peer is in progress. Any other chunk is dropped unless it is
   * the next one of the current transfer.
   * @returns The complete revision, with its last chunk.
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

  /**
   * Returns the next chunk to request, or undefined if no transfer is in
   * progress.
   */
  getNextChunk(): RequestedChunk | undefined {
    if (!this.#transfer) return undefined;
    const { from, position, chunks } = this.#transfer;
    return { from, revision: position.revision, index: chunks.length };
  }

  /**
   * Returns the chunk whose request is to be retried; aborts the transfer after
   * `MAX_RETRIES`.
   */
  tick(now: Milliseconds): RequestedChunk | undefined {
    const transfer = this.#transfer;
    if (!transfer || now - transfer.requestedAt < CHUNK_TIMEOUT_MS) {
      return undefined;
    }
    if (transfer.retries >= MAX_RETRIES) {
      this.#transfer = undefined;
      return undefined;
    }
    transfer.retries += 1;
    transfer.requestedAt = now;
    return this.getNextChunk();
  }
}
