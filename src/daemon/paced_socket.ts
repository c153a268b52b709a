/**
 * Connection to an upstream whose input gets a bounded share of each turn of the
 * event loop. Node.js hands over up to 32 reads of 64 KB of one connection in a
 * turn, which are some 70,000 small events. Input beyond the share waits here,
 * and the connection is not read meanwhile, which throttles the upstream.
 */
import { Buffer } from "node:buffer";
import type { TcpNetConnectOpts } from "node:net";
import type {
  MemoryBudget,
  MemoryReservation,
} from "../core/limits/memory_budget.ts";
import { type TurnLimits, TurnShare } from "../core/limits/turn_share.ts";
import { HeadCheckedSocket, openSocket } from "./head_checked_socket.ts";

export interface PacedSocketOptions {
  limits: TurnLimits;
  /** Budget for the input that waits. */
  memory: MemoryBudget;
  /** Called when the connection reaches its share for the first time. */
  onThrottle: () => void;
}

/** Input of at most this size is passed on as it is: one event of a stream. */
const UNDIVIDED_BYTES = 1024;
/**
 * What the streams of connection and response read ahead while their reader
 * pauses, and hand over at once when it goes on: a quarter of the default.
 */
const READ_AHEAD_BYTES = 4 * 1024;
/** A rest of less than this part of its buffer is copied. */
const COPIED_SHARE = 4;

export class PacedSocket extends HeadCheckedSocket {
  readonly #options: PacedSocketOptions;
  readonly #share: TurnShare;
  readonly #reservation: MemoryReservation;
  /** Input that waits for the next turn, or for its reader. */
  #held: Buffer | undefined;
  #isScheduled = false;
  #isThrottled = false;

  constructor(options: PacedSocketOptions, connection: TcpNetConnectOpts) {
    super({ ...connection, readableHighWaterMark: READ_AHEAD_BYTES } as object);
    this.#options = options;
    this.#share = new TurnShare(options.limits);
    this.#reservation = options.memory.createReservation();
    this.once("close", () => this.#releaseHeld());
  }

  /** Records that an event of the input was processed. */
  recordEvent(): void {
    this.#share.recordEvent();
  }

  override push(input: Buffer | null, encoding?: BufferEncoding): boolean {
    if (input === null) return super.push(input, encoding);
    this.#share.clear();
    return input.length <= UNDIVIDED_BYTES
      ? super.push(input)
      : this.#pushPieces(input);
  }

  override _read(size: number): void {
    if (this.#held) this.#scheduleTurn();
    else super._read(size);
  }

  get #hasReader(): boolean {
    return this.listenerCount("data") > 0 || this.listenerCount("readable") > 0;
  }

  /** Readers that call `read` themselves never let the stream flow. */
  get #isPausedByReader(): boolean {
    return this.isPaused() && this.listenerCount("readable") === 0;
  }

  /** Passes on what the turn has room for; returns whether to read on. */
  #pushPieces(input: Buffer): boolean {
    let offset = 0;
    let canPush = true;
    while (offset < input.length) {
      const length = this.#share.computePieceBytes(input.length - offset);
      if (length === 0) {
        this.#reportThrottle();
        this.#keepInput(input.subarray(offset));
        this.#scheduleTurn();
        return false;
      }
      canPush = super.push(input.subarray(offset, offset + length));
      this.#share.recordPiece(length);
      offset += length;
      if (this.destroyed) return false;
      // The parser leaves with the end of its response: what follows belongs to
      // no request, and must not be read as the response to the next one.
      if (offset < input.length && !this.#hasReader) {
        this.destroy();
        return false;
      }
      if (offset < input.length && (!canPush || this.#isPausedByReader)) {
        // The reader asks for the rest.
        this.#keepInput(input.subarray(offset));
        return false;
      }
    }
    return canPush;
  }

  #keepInput(input: Buffer): void {
    if (!this.#options.memory.tryExtend(this.#reservation, input.length)) {
      this.destroy(
        new Error(`expected memory for ${input.length} bytes, actual none`),
      );
      return;
    }
    // A small rest would keep the whole read in memory.
    const isSmall = input.length * COPIED_SHARE < input.buffer.byteLength;
    this.#held = isSmall ? Buffer.from(input) : input;
  }

  #releaseHeld(): Buffer | undefined {
    const held = this.#held;
    this.#held = undefined;
    this.#options.memory.release(this.#reservation);
    return held;
  }

  #scheduleTurn(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      const held = this.#releaseHeld();
      if (!held || this.destroyed) return;
      this.#share.clear();
      this.#pushPieces(held);
    });
  }

  #reportThrottle(): void {
    if (this.#isThrottled) return;
    this.#isThrottled = true;
    this.#options.onThrottle();
  }
}

/** Connects as `net.connect` does. */
export function openPacedSocket(
  options: PacedSocketOptions,
  connection: TcpNetConnectOpts,
): PacedSocket {
  return openSocket(new PacedSocket(options, connection), connection);
}
