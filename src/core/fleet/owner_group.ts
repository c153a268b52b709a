/**
 * The daemons that hold the engines of one failure domain: the first few in a
 * ranking of all daemons there that are remembered, living or not. Dead ones keep
 * their places for a while, so that daemons which disagree on who lives still
 * agree on the group, and half of it can be told from a part of it behind a cut.
 */
import { rankByRendezvous } from "../hashing.ts";

/** Members of a group: more than half of them outlive the loss of any three, and each hears all others at a small cost. */
export const OWNER_GROUP_SIZE = 8;

/** Returns the group of a failure domain, given its daemons. */
export function selectOwnerGroup<Member extends { id: string }>(
  failureDomain: string,
  members: readonly Member[],
): Member[] {
  return rankByRendezvous(`holders ${failureDomain}`, members)
    .slice(0, OWNER_GROUP_SIZE);
}

/** Returns whether a group has the daemon in it, by its id. */
export function hasMember(
  members: readonly { id: string }[],
  member: { id: string },
): boolean {
  return members.some((each) => each.id === member.id);
}
