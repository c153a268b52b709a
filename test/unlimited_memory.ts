/** A memory budget for tests that are not about memory. */
import { MemoryBudget } from "../src/core/limits/memory_budget.ts";

export const UNLIMITED_MEMORY = new MemoryBudget({
  exemptBytes: Number.POSITIVE_INFINITY,
  sharedBytes: 0,
});
