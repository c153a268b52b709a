/** Describes the work that a caller's request takes, and its time limit. */
import type { RequestWork } from "../core/admission/stop_admission.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedRoute,
  PublishedService,
} from "../core/view/published_view.ts";
import type { RequestMetadata } from "./ports.ts";

/**
 * Part of a caller's deadline that is reserved for the network between the
 * caller and the gateway.
 */
const NETWORK_ALLOWANCE_MS = 8;

export function describeWork(
  { metadata, arrivedAt }: {
    metadata: RequestMetadata;
    arrivedAt: Milliseconds;
  },
  { route, service }: { route: PublishedRoute; service: PublishedService },
): RequestWork {
  const deadlineMs = metadata.deadlineMs ?? route.timeoutMs;
  return {
    repeatability: route.repeatability,
    isGeneration: service.engine !== undefined,
    promptTokens: metadata.promptTokens,
    outputTokens: metadata.outputTokens,
    latencyObjectiveMs: route.latencyObjectiveMs,
    deadlineAt: arrivedAt +
      Math.min(deadlineMs - NETWORK_ALLOWANCE_MS, route.timeoutMs),
  };
}
