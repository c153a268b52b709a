/**
 * The operator's configuration as the platform's store publishes it, for fakes.
 */

/** Time that the engines' base model takes to load, in seconds. */
const MODEL_LOAD_S = 0.05;
/** Maximum size of a request's body. */
const MAX_BODY_BYTES = 100_000;

/**
 * Builds the configuration's value: the given routes, two services, and limits
 * that tests don't reach.
 */
export function buildPlatformConfiguration(
  version: number,
  routes: object[],
  { modelLoadS = MODEL_LOAD_S, maxBodyBytes = MAX_BODY_BYTES, tenants }: {
    modelLoadS?: number | undefined;
    maxBodyBytes?: number | undefined;
    /** Customers; requests need no key without any. */
    tenants?: object[] | undefined;
  } = {},
): object {
  return {
    version,
    routes,
    ...(tenants ? { tenants } : {}),
    services: [
      { name: "orders", health_path: "/healthz", max_conns: 50 },
      {
        name: "briefs",
        health_path: "/healthz",
        max_conns: 50,
        engine: {
          slots: 8,
          kv_capacity: 100_000,
          adapter_slots: 2,
          weights_mb: 110,
          models: [{
            name: "m",
            weights_mb: 100,
            load_s: modelLoadS,
            adapters: 30,
          }],
        },
      },
    ],
    limits: {
      max_body_bytes: maxBodyBytes,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Builds a route of the configuration; overrides replace default fields. */
export function buildPlatformRoute(
  name: string,
  kind: string,
  service: string,
  overrides: object = {},
): object {
  return {
    name,
    host: "mill.example",
    prefix: `/${name}/`,
    kind,
    timeout_ms: 4_000,
    target_latency_ms: 800,
    priority: 1,
    service,
    attempts: 2,
    resumable: false,
    ...overrides,
  };
}
