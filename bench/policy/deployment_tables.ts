/** Creates the host list and the tables of a benchmark deployment. */
import {
  Fencing,
  HostRole,
  HostState,
  type HostStructure,
  PoolKind,
  Priority,
  type TablesStructure,
} from "../../src/core/structures.ts";
import {
  type Deployment,
  getAdapterCustomer,
  getAdapterPriority,
} from "./workloads.ts";

export const MAX_RUN_MS = 30_000;
/** Number of concurrent calls that a plain service accepts. */
export const SERVICE_BATCH_SIZE = 32;

/** Returns the hosts of a deployment, as in the platform's host list. */
export function createHosts(deployment: Deployment): HostStructure[] {
  const hosts: HostStructure[] = [];
  const addHosts = (service: string, counts: readonly number[]) => {
    for (const [domain, count] of counts.entries()) {
      for (let index = 0; index < count; index += 1) {
        const failureDomain = deployment.failureDomains[domain]!;
        const id = `${service || "entry"}-${failureDomain}-${index}`;
        hosts.push({
          id,
          address: id,
          failureDomain,
          role: service === "" ? HostRole.Entry : HostRole.Upstream,
          service,
          state: HostState.Live,
        });
      }
    }
  };
  addHosts("", deployment.daemonsByDomain);
  addHosts(deployment.engineService, deployment.enginesByDomain);
  addHosts(deployment.plainService, deployment.servicesByDomain);
  return hosts;
}

/**
 * Returns the tables of a deployment: one route for each adapter, and one to
 * the plain service for each customer.
 */
export function createTables(deployment: Deployment): TablesStructure {
  const { customers, engineService, plainService } = deployment;
  const pool = {
    baseModel: "base",
    failureDomains: [...deployment.failureDomains],
    fencing: Fencing.Checked,
    loadStallWeight: deployment.loadStallWeight,
    batchEfficiencyWeight: deployment.batchEfficiencyWeight,
  };
  const route = { idempotent: true, maxRunMs: MAX_RUN_MS };
  return {
    revision: 1,
    customers: customers.map(({ name, share }, index) => ({
      name,
      share,
      tokenDigests: [String(index).padStart(64, "0")],
    })),
    pools: [{
      ...pool,
      name: engineService,
      kind: PoolKind.Engine,
      service: engineService,
      slots: deployment.slots,
      batchSize: deployment.batchSize,
    }, {
      ...pool,
      name: plainService,
      kind: PoolKind.Service,
      service: plainService,
      baseModel: "",
      slots: 0,
      batchSize: SERVICE_BATCH_SIZE,
    }],
    routes: [
      ...Array.from({ length: deployment.adapters }, (_, adapter) => {
        const priority = getAdapterPriority(adapter);
        return {
          ...route,
          name: `route-${adapter}`,
          customer: getAdapterCustomer(adapter, deployment),
          pool: engineService,
          adapter: `adapter-${adapter}`,
          version: "1",
          priority,
          queueDeadlineMs: deployment.deadlinesMs[priority],
        };
      }),
      ...customers.map(({ name }) => ({
        ...route,
        name: `${plainService}-${name}`,
        customer: name,
        pool: plainService,
        adapter: "",
        version: "",
        priority: Priority.Interactive,
        queueDeadlineMs: deployment.deadlinesMs.interactive,
      })),
    ],
  };
}
