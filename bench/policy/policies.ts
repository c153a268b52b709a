/** The compared policies: three baselines and the daemon's default policy. */
import {
  type CorePolicy,
  DEFAULT_CORE_POLICY,
} from "../../src/core/core_policy.ts";
import { hashText } from "../../src/core/hashing.ts";
import {
  findResidency,
  type RankedUpstream,
  type UpstreamCandidate,
} from "../../src/core/routing/upstream_selector.ts";
import { createRandom } from "./random.ts";

/** Names of the simulated policies, in the order of the rows. */
export const POLICY_NAMES = [
  "random-lru",
  "least-loaded-lru",
  "consistent-hash",
  "pistachiohatch",
] as const;
export type PolicyName = (typeof POLICY_NAMES)[number];

export function createPolicy(name: PolicyName, seed: number): CorePolicy {
  switch (name) {
    case "random-lru": {
      const random = createRandom(seed);
      return createLruPolicy(() => random());
    }
    case "least-loaded-lru":
      return createLruPolicy(({ digest, localCredits }) =>
        Math.max(digest.creditsInUse, localCredits) + digest.waiting
      );
    case "consistent-hash":
      return createLruPolicy(({ host }, adapterKey) =>
        adapterKey === "" ? 0 : -hashText(`${adapterKey}\u0000${host.id}`)
      );
    case "pistachiohatch":
      return DEFAULT_CORE_POLICY;
  }
}

function createLruPolicy(
  computeCost: (candidate: UpstreamCandidate, adapterKey: string) => number,
): CorePolicy {
  return {
    rankUpstreams: (candidates, { adapterKey }): RankedUpstream[] =>
      candidates.map((candidate) => ({
        candidate,
        residency: findResidency(candidate.digest, adapterKey),
        cost: computeCost(candidate, adapterKey),
      })).sort((a, b) =>
        a.cost - b.cost ||
        (a.candidate.host.id < b.candidate.host.id ? -1 : 1)
      ),
    redirects: false,
    computeRetentionValue: (slot) => slot.lastUsedAt,
  };
}
