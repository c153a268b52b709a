/**
 * Limits how much input of one connection is processed in one turn of the event
 * loop, in bytes and in events. Input is passed on in pieces: the number of
 * events in a piece is known only after it has been processed, so the size of
 * the next one follows from the last one. What is left waits for the next turn,
 * after the other connections.
 */

export interface TurnLimits {
  /** Bytes of one connection's input in one turn. */
  maxBytes: number;
  /**
   * Events of one connection in one turn: chunks of a body, of which each is
   * handled, and forwarded, by itself.
   */
  maxEvents: number;
}

export const DEFAULT_TURN_LIMITS: TurnLimits = {
  /** Half of what Node.js reads at once; scanning it for events takes up to 1 ms. */
  maxBytes: 32 * 1024,
  /**
   * More than the 58 events of the longest ordinary stream. Forwarding one takes
   * some 10 microseconds: less than 1 ms in all.
   */
  maxEvents: 64,
};

/**
 * Largest piece, by which a turn may exceed its events when a sender changes the
 * size of its chunks.
 */
const MAX_PIECE_BYTES = 4 * 1024;
/** Passing on smaller pieces would take longer than the events in them. */
const MIN_PIECE_BYTES = 256;
/** Size of a connection's pieces until its first event. */
const FIRST_PIECE_BYTES = 1024;

export class TurnShare {
  readonly #limits: TurnLimits;
  #bytes = 0;
  #events = 0;
  /** Events before the current piece. */
  #countedEvents = 0;
  /** Mean in the last piece that had events; undefined before it. */
  #bytesPerEvent: number | undefined;

  constructor(limits: TurnLimits) {
    this.#limits = limits;
  }

  /** Bytes that the turn still has room for. */
  get bytesLeft(): number {
    return Math.max(0, this.#limits.maxBytes - this.#bytes);
  }

  get isUsedUp(): boolean {
    return this.bytesLeft === 0 || this.#events >= this.#limits.maxEvents;
  }

  /** Begins another turn. */
  clear(): void {
    this.#bytes = 0;
    this.#events = 0;
    this.#countedEvents = 0;
  }

  /** Records an event of the current piece. */
  recordEvent(): void {
    this.#events += 1;
  }

  /** Records a piece whose events have been recorded. */
  recordPiece(bytes: number): void {
    const events = this.#events - this.#countedEvents;
    if (events > 0) this.#bytesPerEvent = bytes / events;
    this.#countedEvents = this.#events;
    this.#bytes += bytes;
  }

  /** Returns the size of the next piece; 0 if the turn's share is used up. */
  computePieceBytes(availableBytes: number): number {
    if (this.isUsedUp) return 0;
    const events = this.#limits.maxEvents - this.#events;
    const expectedBytes = this.#bytesPerEvent === undefined
      ? FIRST_PIECE_BYTES
      : Math.ceil(events * this.#bytesPerEvent);
    return Math.min(
      availableBytes,
      this.bytesLeft,
      Math.max(MIN_PIECE_BYTES, Math.min(MAX_PIECE_BYTES, expectedBytes)),
    );
  }
}
