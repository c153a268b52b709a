/**
 * Divides the passing on of updates: each daemon feeds the daemons that follow
 * it in the ring of live daemons, over a few that feed a part each in turn.
 * Every daemon then gets each update once, whatever the size of the ring.
 */

/** Daemons that one daemon feeds directly. */
export const DISSEMINATION_FAN_OUT = 9;

/** A daemon to send to, and how many that follow it in the ring it has to feed. */
export interface DisseminationTarget {
  id: string;
  span: number;
}

/**
 * @param ring Ids of the live daemons in order.
 * @param span Daemons after `selfId` that are to be fed.
 */
export function listDisseminationTargets(
  ring: readonly string[],
  selfId: string,
  span: number,
  fanOut: number = DISSEMINATION_FAN_OUT,
): DisseminationTarget[] {
  const start = ring.indexOf(selfId);
  const total = Math.min(span, ring.length - 1);
  const parts = Math.min(fanOut, total);
  const targets: DisseminationTarget[] = [];
  let offset = 1;
  for (let part = 0; part < parts; part += 1) {
    const size = Math.floor(total / parts) + (part < total % parts ? 1 : 0);
    const id = ring[(start + offset) % ring.length];
    if (id !== undefined) targets.push({ id, span: size - 1 });
    offset += size;
  }
  return targets;
}
