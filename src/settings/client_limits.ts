/** Settings that limit what clients take of a process, for gateway and daemon. */
import * as z from "zod";

/** More than the few requests that clients pipeline; they are answered in order. */
const DEFAULT_MAX_PIPELINED_REQUESTS = 32;
/**
 * A request with an attempt at an upstream takes up to 50 KB: a fifth of the
 * heap of the smallest machine.
 */
const DEFAULT_MAX_PIPELINED_IN_ALL = 512;
/** Input beyond 16 KB a connection; less than a tenth of the same memory. */
const DEFAULT_MAX_HELD_BYTES = 16 * 1024 * 1024;
/** Longer than any deadline of the users' routes. */
const DEFAULT_UNREAD_TIMEOUT_MS = 60_000;

export const clientLimitsSchema = z.object({
  /**
   * Unanswered requests of one connection above which no further one is read.
   */
  maxPipelinedRequests: z.number().int().positive().default(
    DEFAULT_MAX_PIPELINED_REQUESTS,
  ),
  /**
   * Unanswered requests of all connections, beyond the first of each, above
   * which no further request is read from a connection that has one.
   */
  maxPipelinedInAll: z.number().int().nonnegative().default(
    DEFAULT_MAX_PIPELINED_IN_ALL,
  ),
  /** Bytes that were read from paused connections and wait to be parsed. */
  maxHeldBytes: z.number().int().nonnegative().default(DEFAULT_MAX_HELD_BYTES),
  /** Time for which a client may read nothing of its responses. */
  unreadTimeoutMs: z.number().positive().default(DEFAULT_UNREAD_TIMEOUT_MS),
});

export type ClientLimits = z.infer<typeof clientLimitsSchema>;
