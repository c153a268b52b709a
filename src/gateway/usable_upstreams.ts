/** Which upstreams a request may be sent to from here now. */
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Returns the upstreams that want requests and can be reached; those that can't be
 * reached too where there is no other, and none only where each has backed off.
 */
export function listUsableUpstreams(
  context: Pick<RequestContext, "backoff" | "reachability" | "fleet">,
  upstreams: readonly PublishedUpstream[],
  now: Milliseconds,
): readonly PublishedUpstream[] {
  const { backoff, reachability, fleet } = context;
  return reachability.selectReachable(
    backoff.listAvailable(upstreams, now),
    (failureDomain) => fleet.hasAlivePeer(failureDomain, now),
    now,
  );
}
