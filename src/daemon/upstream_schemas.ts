/** Schemas of the responses of upstreams and of the platform. */
import * as z from "zod";

/** Response to `GET /state` on an upstream. */
export const engineStateSchema = z.object({
  incarnation: z.string(),
  fencing: z.number().default(0),
  leaving: z.boolean().default(false),
  residents: z.array(z.object({
    adapterKey: z.string(),
    inFlight: z.number(),
  })).default([]),
  running: z.number().default(0),
});

/** Response to `GET /v1/keys` and `GET /v1/watch` of the configuration service. */
export const keysSchema = z.object({
  revision: z.number().int().nonnegative(),
  keys: z.array(z.string()),
});

/** Response to `GET /v1/keys/<key>` of the configuration service. */
export const keyValueSchema = z.object({
  revision: z.number().int().nonnegative(),
  value: z.string(),
});
