/** Schema of the gateway's settings file. */
import * as z from "zod";
import { clientLimitsSchema } from "./client_limits.ts";
import { LOG_LEVELS } from "./log_level.ts";
import { turnLimitsSchema } from "./turn_limits.ts";

const ADDRESS = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected an IPv4 address and a port",
);
const POSITIVE = z.number().positive();

/**
 * Part of the stop's grace period that is reserved for the exit; requests in
 * progress must end before it.
 */
const DEFAULT_EXIT_RESERVE_MS = 300;

/** The users' smallest sites allow two seconds. */
const DEFAULT_LEAVING_MS = 2_000;

export const gatewaySettingsSchema = z.object({
  host: z.string().min(1),
  failureDomain: z.string().min(1),
  /** The region of each failure domain of the fleet. */
  failureDomains: z.record(z.string().min(1), z.string()).nullish(),
  callers: z.object({
    listen: ADDRESS,
    /** Open connections; by default half of the process's descriptors. */
    maxConnections: z.number().int().positive().optional(),
  }),
  clients: clientLimitsSchema.prefault({}),
  turns: turnLimitsSchema.prefault({}),
  readiness: z.object({ listen: ADDRESS }),
  peers: z.object({
    /** Address at which peers request the published view. */
    listen: ADDRESS,
    /** UDP port for peer messages, the same on every host of the fleet. */
    port: z.number().int().positive(),
    /** Addresses of some daemons, which may be stale. */
    seeds: z.array(ADDRESS).default([]),
  }),
  metrics: z.object({ port: z.number().int().positive() }).optional(),
  store: z.object({
    address: ADDRESS,
    /**
     * Time from the store's announcement that an upstream leaves, after which
     * the upstream must get no new requests.
     */
    leavingMs: POSITIVE.default(DEFAULT_LEAVING_MS),
  }),
  orders: z.object({
    /** Ownership term: two daemons must not both give one engine orders within this time. */
    termMs: POSITIVE,
  }),
  repeats: z.object({
    /** Retries allowed per request in the window. */
    ratio: z.number().nonnegative(),
    windowMs: POSITIVE,
    /** Retries allowed in addition, over all daemons. */
    slack: z.number().nonnegative(),
  }),
  quotas: z.object({
    /** Time over which the platform sums up what reaches upstreams. */
    windowMs: z.number().nonnegative(),
    /** Tolerated fraction of a customer's rate x window + burst. */
    over: z.number().nonnegative(),
    /** Tolerated in addition, in the quota's unit. */
    slack: z.number().nonnegative(),
  }).optional(),
  stop: z.object({
    /** Time from the stop signal until the process is killed. */
    graceMs: POSITIVE,
    exitReserveMs: POSITIVE.default(DEFAULT_EXIT_RESERVE_MS),
  }),
  /**
   * Descriptors that this process may open, of which its ports and upstreams
   * have shares; what the system reports if absent.
   */
  descriptors: z.number().int().positive().optional(),
  logLevel: z.enum(LOG_LEVELS).default("info"),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
