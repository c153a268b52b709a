/** Options of a test deployment, and the tables that it starts with. */
import { createHash } from "node:crypto";
import { stringify } from "yaml";
import type { FleetOptions } from "./fleet.ts";

/** Bearer token of the deployment's only customer. */
export const SITE_TOKEN = "derwent-test-token";
/** Non-idempotent route to the plain services. */
export const FEED_ORDER_ROUTE = "feed-order";

/** Number of hosts of each kind in one failure domain. */
export interface SiteDomain {
  name: string;
  daemons: number;
  engines: number;
  services?: number;
}

export interface SiteOptions extends FleetOptions {
  domains: SiteDomain[];
  /**
   * Number of routes `adapter-0`, `adapter-1`, …, each to the adapter of the
   * same name.
   */
  adapters?: number;
  slots?: number;
  batchSize?: number;
  fencing?: "checked" | "ignored";
  tokens?: number;
  tokenIntervalMs?: number;
  loadTimeMs?: number;
  maxRunMs?: number;
  queueDeadlineMs?: number;
}

/** Limits of the routes that a test may change in a later revision. */
export type RouteLimits = Partial<
  Pick<SiteOptions, "maxRunMs" | "queueDeadlineMs">
>;

type SiteTablesOptions = Required<Omit<SiteOptions, keyof FleetOptions>>;

export function formatSitePools(options: SiteTablesOptions): string {
  const failureDomains = options.domains.map(({ name }) => name);
  return stringify({
    pools: [
      {
        name: "writers",
        service: "brief-writer",
        failureDomains,
        slots: options.slots,
        batchSize: options.batchSize,
        fencing: options.fencing,
      },
      {
        name: "dispatch",
        kind: "service",
        service: "dispatch-core",
        failureDomains,
        batchSize: options.batchSize,
      },
    ],
  });
}

/** Returns the routes with every adapter at the given version. */
export function formatSiteRoutes(
  options: SiteTablesOptions,
  version: string,
): string {
  const { adapters, maxRunMs, queueDeadlineMs } = options;
  const limits = { maxRunMs, queueDeadlineMs };
  return stringify({
    customers: [{
      name: "derwent",
      tokenDigests: [createHash("sha256").update(SITE_TOKEN).digest("hex")],
    }],
    routes: [
      ...Array.from({ length: adapters }, (_, index) => ({
        name: `adapter-${index}`,
        customer: "derwent",
        pool: "writers",
        adapter: `adapter-${index}`,
        version,
        ...limits,
      })),
      {
        name: FEED_ORDER_ROUTE,
        customer: "derwent",
        pool: "dispatch",
        idempotent: false,
        ...limits,
      },
    ],
  });
}
