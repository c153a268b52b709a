/**
 * The owner group of a failure domain: the daemons that own its engines, which
 * are the first few in a ranking of all remembered daemons there, alive or not.
 * Dead daemons keep their rank for a while. So daemons that disagree about who
 * is alive still agree on the group, and a majority of the group can be told
 * from a minority behind a network partition.
 */
import { rankByRendezvous } from "../hashing.ts";

/**
 * Members of a group: more than half of them survive the loss of any three, and
 * each hears all others at a low cost.
 */
export const OWNER_GROUP_SIZE = 8;

/** Returns the owner group of a failure domain, given its daemons. */
export function selectOwnerGroup<Member extends { id: string }>(
  failureDomain: string,
  members: readonly Member[],
): Member[] {
  return rankByRendezvous(`holders ${failureDomain}`, members)
    .slice(0, OWNER_GROUP_SIZE);
}

/** Returns whether a group contains the daemon, compared by id. */
export function hasMember(
  members: readonly { id: string }[],
  member: { id: string },
): boolean {
  return members.some((each) => each.id === member.id);
}
