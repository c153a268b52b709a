/**
 * Collects the bytes of one body or event in a block that grows with them. A
 * list of the received chunks would take over a hundred bytes of memory for
 * each of them, and the sender decides how small they are.
 */
import { Buffer } from "node:buffer";
import type {
  MemoryBudget,
  MemoryReservation,
} from "../limits/memory_budget.ts";

export interface ByteAccumulatorOptions {
  /** Maximum number of bytes collected. */
  maxBytes: number;
  /** Budget from which the block is reserved. */
  memory: MemoryBudget;
  /**
   * Maximum number of chunks, where they are small on average: reading one takes
   * as long as many bytes of a large one. No limit if undefined.
   */
  maxSmallChunks?: number;
}

/**
 * Limit for the answers of other processes: about 0.1 s of processor time. An
 * answer of this many bytes may still arrive byte by byte.
 */
export const MAX_SMALL_CHUNKS = 32 * 1024;
/**
 * Mean size below which chunks count as small, in bytes. At 16, an answer of 4 MB
 * in chunks of 16 bytes took 0.55 s of processor time.
 */
const SMALL_CHUNK_BYTES = 64;

const NO_BYTES = Buffer.alloc(0);
/** Size of the first block, which most incomplete events fit into. */
const MIN_BLOCK_BYTES = 512;
const GROWTH_FACTOR = 2;

export class ByteAccumulator {
  readonly #options: ByteAccumulatorOptions;
  readonly #reservation: MemoryReservation;
  #block: Buffer = NO_BYTES;
  #length = 0;
  #chunkCount = 0;

  constructor(options: ByteAccumulatorOptions) {
    this.#options = options;
    this.#reservation = options.memory.createReservation();
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** The bytes collected. They share memory with the accumulator. */
  get bytes(): Buffer {
    return this.#block.subarray(0, this.#length);
  }

  /**
   * Adds a copy of the bytes; returns false, and adds nothing, if they exceed
   * the maxima or the budget.
   */
  tryAppend(bytes: Uint8Array): boolean {
    const length = this.#length + bytes.length;
    if (length > this.#options.maxBytes) return false;
    this.#chunkCount += 1;
    if (this.#hasTooSmallChunks(length)) return false;
    if (length > this.#block.length && !this.#tryGrow(length)) return false;
    this.#block.set(bytes, this.#length);
    this.#length = length;
    return true;
  }

  /** Returns the bytes collected, and starts over with none. */
  take(): Buffer {
    const { bytes } = this;
    this.release();
    return bytes;
  }

  /** Drops the bytes collected and returns their memory to the budget. */
  release(): void {
    this.#options.memory.release(this.#reservation);
    this.#block = NO_BYTES;
    this.#length = 0;
    this.#chunkCount = 0;
  }

  #hasTooSmallChunks(length: number): boolean {
    const { maxSmallChunks } = this.#options;
    return maxSmallChunks !== undefined && this.#chunkCount > maxSmallChunks &&
      length < this.#chunkCount * SMALL_CHUNK_BYTES;
  }

  /** Replaces the block by one for at least that many bytes. */
  #tryGrow(length: number): boolean {
    const { maxBytes, memory } = this.#options;
    const size = Math.min(
      maxBytes,
      Math.max(length, MIN_BLOCK_BYTES, GROWTH_FACTOR * this.#block.length),
    );
    const addedBytes = size - this.#block.length;
    if (!memory.tryExtend(this.#reservation, addedBytes)) return false;
    const block = Buffer.allocUnsafe(size);
    block.set(this.bytes);
    this.#block = block;
    return true;
  }
}
