/**
 * Offline bound of the load stalls: clairvoyant eviction (Belady's algorithm)
 * with loads on demand, as if the slots of all engines were one pool.
 */
import type { Deployment, Workload } from "./workloads.ts";

/**
 * Returns the number of loads, and the share of requests whose adapter was not
 * loaded at their arrival.
 */
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
  const usedSlots = new Array<number>(engines).fill(0);
  let loads = 0;
  let measured = 0;
  for (const [index, request] of requests.entries()) {
    while (restarts[0] !== undefined && restarts[0].at <= request.at) {
      const { engine } = restarts.shift()!;
      usedSlots[engine] = 0;
      for (const [adapter, resident] of residents) {
        if (resident.engine === engine) residents.delete(adapter);
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
      const victim = findFurthestNextUse(residents);
      usedSlots[residents.get(victim)!.engine]! -= 1;
      residents.delete(victim);
    }
    const engine = usedSlots.findIndex((count) => count < deployment.slots);
    usedSlots[engine]! += 1;
    residents.set(request.adapter, { nextUse: nextUse[index]!, engine });
  }
  return { loads, loadStallShare: loads / measured };
}

function computeNextUses(adapters: string[]): number[] {
  const nextIndexByAdapter = new Map<string, number>();
  const nextUses = new Array<number>(adapters.length);
  for (let index = adapters.length - 1; index >= 0; index -= 1) {
    const adapter = adapters[index]!;
    nextUses[index] = nextIndexByAdapter.get(adapter) ??
      Number.POSITIVE_INFINITY;
    nextIndexByAdapter.set(adapter, index);
  }
  return nextUses;
}

function findFurthestNextUse(
  residents: Map<string, { nextUse: number }>,
): string {
  let furthest = "";
  let latestUse = -1;
  for (const [adapter, { nextUse }] of residents) {
    if (nextUse <= latestUse) continue;
    furthest = adapter;
    latestUse = nextUse;
  }
  return furthest;
}
