/** Selects the upstreams that this daemon may send a request to now. */
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Returns the upstreams that have not asked to back off and whose failure
 * domain is reachable. If all of their failure domains are unreachable, they
 * are returned all the same: the result is empty only if every upstream asked
 * to back off.
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
