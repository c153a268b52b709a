/**
 * Tables and tokens of the demo: two customers, engines and a plain service in
 * two failure domains.
 */
import { createHash } from "node:crypto";
import { stringify } from "yaml";
import type { HostStructure } from "../src/core/structures.ts";

export const DEMO_TOKENS = {
  derwent: "derwent-demo-token",
  solljus: "solljus-demo-token",
} as const;

export const DEMO_DOMAINS = ["hobart-a", "huon-b"] as const;

export function formatPools(): string {
  return stringify({
    pools: [
      {
        name: "writers",
        service: "brief-writer",
        failureDomains: DEMO_DOMAINS,
        slots: 4,
        batchSize: 8,
        fencing: "checked",
      },
      {
        name: "dispatch",
        kind: "service",
        service: "dispatch-core",
        failureDomains: DEMO_DOMAINS,
        batchSize: 8,
      },
    ],
  });
}

/**
 * Returns the routes table, with the given adapter version for Derwent's
 * briefing route.
 */
export function formatRoutes(briefingVersion: string): string {
  return stringify({
    customers: Object.entries(DEMO_TOKENS).map(([name, token]) => ({
      name,
      tokenDigests: [createHash("sha256").update(token).digest("hex")],
    })),
    routes: [
      {
        name: "briefing",
        customer: "derwent",
        pool: "writers",
        adapter: "derwent-briefing",
        version: briefingVersion,
      },
      {
        name: "letters",
        customer: "solljus",
        pool: "writers",
        adapter: "solljus-letters",
        version: "v1",
      },
      {
        name: "feed-order",
        customer: "derwent",
        pool: "dispatch",
        idempotent: false,
        maxRunMs: 5_000,
      },
    ],
  });
}

export function createUpstreamHost(
  id: string,
  address: string,
  options: { failureDomain: string; service: string },
): HostStructure {
  return { id, address, role: "upstream", state: "live", ...options };
}
