/** Settings that limit what one connection does in a turn of the event loop. */
import * as z from "zod";
import { DEFAULT_TURN_LIMITS } from "../core/limits/turn_share.ts";

export const turnLimitsSchema = z.object({
  /** Bytes of one connection's input that are processed in one turn. */
  maxBytes: z.number().int().positive().default(DEFAULT_TURN_LIMITS.maxBytes),
  /** Chunks of one connection's body that are processed in one turn. */
  maxEvents: z.number().int().positive().default(
    DEFAULT_TURN_LIMITS.maxEvents,
  ),
});
