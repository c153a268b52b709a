/** Clairvoyant eviction on demand over the pooled slots of all engines. */
import type { Deployment, Workload } from "./workloads.ts";

/** Returns the loads and the share of requests that find their adapter absent. */
export function computeOfflineBound(
  deployment: Deployment,
  workload: Workload,
): { loads: number; loadStallShare: number } {
  const requests = workload.requests.filter(({ adapter }) => adapter !== "");
  const nextUse = computeNextUses(requests.map(({ adapter }) => adapter));
  const engines = deployment.enginesByDomain.reduce((sum, n) => sum + n, 0);
  const slots = engines * deployment.slots;
  const restarts = workload.faults.filter((fault) => fault.kind === "restart")
    .sort((a, b) => a.at - b.at);
  const residents = new Map<string, { nextUse: number; engine: number }>();
  const used = new Array<number>(engines).fill(0);
  let loads = 0;
  let measured = 0;
  for (const [index, request] of requests.entries()) {
    while (restarts[0] !== undefined && restarts[0].at <= request.at) {
      const { engine } = restarts.shift()!;
      used[engine] = 0;
      for (const [adapter, place] of residents) {
        if (place.engine === engine) residents.delete(adapter);
      }
    }
    const isMeasured = request.at >= workload.measureFrom;
    if (isMeasured) measured += 1;
    const resident = residents.get(request.adapter);
    if (resident) {
      resident.nextUse = nextUse[index]!;
      continue;
    }
    if (isMeasured) loads += 1;
    if (residents.size >= slots) {
      const victim = findFurthest(residents);
      used[residents.get(victim)!.engine]! -= 1;
      residents.delete(victim);
    }
    const engine = used.findIndex((count) => count < deployment.slots);
    used[engine]! += 1;
    residents.set(request.adapter, { nextUse: nextUse[index]!, engine });
  }
  return { loads, loadStallShare: loads / measured };
}

function computeNextUses(adapters: string[]): number[] {
  const next = new Map<string, number>();
  const uses = new Array<number>(adapters.length);
  for (let index = adapters.length - 1; index >= 0; index -= 1) {
    const adapter = adapters[index]!;
    uses[index] = next.get(adapter) ?? Number.POSITIVE_INFINITY;
    next.set(adapter, index);
  }
  return uses;
}

function findFurthest(residents: Map<string, { nextUse: number }>): string {
  let furthest = "";
  let latest = -1;
  for (const [adapter, { nextUse }] of residents) {
    if (nextUse <= latest) continue;
    furthest = adapter;
    latest = nextUse;
  }
  return furthest;
}
