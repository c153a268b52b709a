/** Schema of the daemon's settings file. */
import * as z from "zod";
import { DEFAULT_CORE_SETTINGS } from "../core/core_settings.ts";
import { clientLimitsSchema } from "./client_limits.ts";
import { LOG_LEVELS } from "./log_level.ts";
import { turnLimitsSchema } from "./turn_limits.ts";

const ADDRESS = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
  "expected an IP address and a port",
);
const NAME = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/);
const POSITIVE = z.number().positive();

const coreFields = Object.fromEntries(
  Object.entries(DEFAULT_CORE_SETTINGS).map((
    [key, value],
  ) => [key, POSITIVE.default(value)]),
) as {
  [Key in keyof typeof DEFAULT_CORE_SETTINGS]: z.ZodDefault<z.ZodNumber>;
};

const TLS = z.strictObject({
  /** Paths of PEM files. */
  authorityFile: z.string(),
  certificateFile: z.string(),
  keyFile: z.string(),
});

export const daemonSettingsSchema = z.strictObject({
  id: NAME,
  failureDomain: NAME,
  callers: z.strictObject({
    listen: ADDRESS,
    maxBodyBytes: POSITIVE.int().default(1_048_576),
    maxHeaderBytes: POSITIVE.int().default(16_384),
    maxConnections: POSITIVE.int().default(10_000),
    headersTimeoutMs: POSITIVE.default(10_000),
    bodyTimeoutMs: POSITIVE.default(30_000),
    stallTimeoutMs: POSITIVE.default(30_000),
    maxAnswerBytes: POSITIVE.int().default(16_777_216),
  }),
  clients: clientLimitsSchema.strict().prefault({}),
  turns: turnLimitsSchema.strict().prefault({}),
  peers: z.strictObject({
    listen: ADDRESS,
    tls: TLS.optional(),
    allowPlaintextBeyondLoopback: z.boolean().default(false),
    /** More than a fleet of 900 daemons opens at one of them. */
    maxConnections: POSITIVE.int().default(1_000),
    seed: z.array(z.strictObject({
      id: NAME,
      address: ADDRESS,
      failureDomain: NAME,
    })).default([]),
  }),
  operators: z.strictObject({
    listen: ADDRESS,
    /** Enables the operators' endpoint by which tests cut this daemon off from others. */
    allowCuts: z.boolean().default(false),
  }),
  platform: z.strictObject({
    configuration: ADDRESS,
    hostList: ADDRESS,
    pollIntervalMs: POSITIVE.default(1_000),
    timeoutMs: POSITIVE.default(5_000),
  }),
  metrics: z.strictObject({
    address: ADDRESS.optional(),
    prefix: z.string().default("pistachiohatch."),
  }).prefault({}),
  logLevel: z.enum(LOG_LEVELS).default("info"),
  tickIntervalMs: POSITIVE.default(20),
  stopTimeoutMs: POSITIVE.default(60_000),
  core: z.strictObject(coreFields).prefault({}),
});

/** Validated settings of one daemon, with defaults applied. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
