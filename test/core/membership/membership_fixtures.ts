/** Fixtures for the membership tests. */
import type { PoolStructure } from "../../../src/core/structures.ts";

export function createPool(
  fields: Partial<PoolStructure> = {},
): PoolStructure {
  return {
    name: "writers",
    kind: "engine",
    service: "writer",
    baseModel: "",
    failureDomains: ["a"],
    slots: 4,
    batchSize: 8,
    fencing: "ignored",
    loadStallWeight: 1,
    batchEfficiencyWeight: 1,
    ...fields,
  };
}
