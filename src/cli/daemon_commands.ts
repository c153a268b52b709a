/** Commands that print the state of one daemon. */
import type { DaemonDescription } from "../core/daemon_core.ts";
import type { RouteStructure } from "../core/structures.ts";
import type { MetricsSnapshot } from "../daemon/metrics.ts";
import { ExitCode } from "./exit_codes.ts";
import { fetchFromDaemon } from "./operator_client.ts";

export type StatusResponse = DaemonDescription & { metrics: MetricsSnapshot };

interface ExplainResponse {
  route: string;
  upstreams: { id: string; owner: string; residency: string; cost: number }[];
}

/** Prints the daemon's status; returns the exit code. */
export async function printStatus(
  address: string,
  isJson: boolean,
): Promise<ExitCode> {
  const status = await fetchFromDaemon<StatusResponse>(address, "/status");
  if (status.isErr()) return reportError(status.error);
  console.log(
    isJson ? JSON.stringify(status.value) : formatStatus(status.value),
  );
  return ExitCode.Success;
}

/** Prints the routes in force; returns the exit code. */
export async function printRoutes(
  address: string,
  isJson: boolean,
): Promise<ExitCode> {
  const response = await fetchFromDaemon<
    { revision: number; routes: RouteStructure[] }
  >(address, "/routes");
  if (response.isErr()) return reportError(response.error);
  const { revision, routes } = response.value;
  if (isJson) console.log(JSON.stringify(response.value));
  else {
    console.log(`Revision ${revision}, ${routes.length} routes`);
    for (const route of routes) {
      const target = route.adapter === ""
        ? "service"
        : `${route.adapter}@${route.version}`;
      console.log(
        `${route.name}  customer ${route.customer}  pool ${route.pool}  ${target}  ${
          route.idempotent ? "idempotent" : "not idempotent"
        }  ${route.priority}`,
      );
    }
  }
  return ExitCode.Success;
}

/** Prints how the upstreams rank for a route; returns the exit code. */
export async function printExplanation(
  address: string,
  route: string,
  isJson: boolean,
): Promise<ExitCode> {
  const response = await fetchFromDaemon<ExplainResponse>(
    address,
    `/explain/${encodeURIComponent(route)}`,
  );
  if (response.isErr()) return reportError(response.error);
  if (isJson) {
    console.log(JSON.stringify(response.value));
    return ExitCode.Success;
  }
  if (response.value.upstreams.length === 0) {
    return reportError(`No upstream is ready for route ${route}`);
  }
  for (const [index, upstream] of response.value.upstreams.entries()) {
    console.log(
      `${index + 1}. ${upstream.id}  ${upstream.residency}  cost ${
        upstream.cost.toFixed(2)
      }  owner ${upstream.owner}`,
    );
  }
  return ExitCode.Success;
}

/** Formats a status as text. */
export function formatStatus(status: StatusResponse): string {
  return [
    `${status.id} (${status.failureDomain}) is ${status.state}; tables revision ${status.tablesRevision}, host list revision ${status.hostListRevision}`,
    `requests ${status.execution.requests}, attempts ${status.execution.attempts}, held credits ${status.execution.heldCredits}, tickets ${status.tickets}`,
    ...formatSection("peers", status.peers.map(formatPeer)),
    ...formatSection(
      "owned upstreams",
      status.upstreams.flatMap(formatUpstream),
    ),
    ...formatSection(
      "refused and retried since the start",
      formatRefusalCounters(status.metrics),
    ),
  ].join("\n");
}

function formatSection(title: string, lines: readonly string[]): string[] {
  return [`${title}:${lines.length === 0 ? " none" : ""}`, ...lines];
}

function formatPeer(peer: StatusResponse["peers"][number]): string {
  const liveness = peer.live ? "live" : "silent";
  const leaving = peer.leaving ? ", leaving" : "";
  return `  ${peer.id} (${peer.failureDomain}) ${liveness}${leaving}, tables revision ${peer.tablesRevision}`;
}

function formatUpstream(
  upstream: StatusResponse["upstreams"][number],
): string[] {
  const health = upstream.up ? "up" : "down";
  const summary =
    `  ${upstream.upstreamId} ${upstream.state}, ${health}, credits ${upstream.creditsInUse}/${upstream.batchSize}, leases ${upstream.leases.length}, waiting ${upstream.waiting}, slots ${upstream.slots.length}/${upstream.capacity}`;
  const slots = upstream.slots.map((slot) =>
    `    ${slot.adapterKey} ${slot.state}`
  );
  return [summary, ...slots];
}

function formatRefusalCounters(metrics: MetricsSnapshot): string[] {
  return Object.entries(metrics.counters)
    .filter(([name]) => /^(refused|retried|lease_refused)\./.test(name))
    .map(([name, count]) => `  ${name} ${count}`);
}

function reportError(message: string): ExitCode {
  console.error(message);
  return ExitCode.DaemonFailed;
}
