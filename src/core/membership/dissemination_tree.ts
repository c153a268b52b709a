/**
 * Dissemination tree over the ring of live daemons. Each daemon divides the
 * daemons that follow it in the ring into a few parts and sends the update to
 * the first of each part, which forwards it within that part. Every daemon
 * receives each update once, whatever the size of the ring.
 */

/** Most daemons to which one daemon sends an update itself. */
export const DISSEMINATION_FAN_OUT = 9;

/**
 * A daemon to send to, and the number of daemons after it in the ring that it
 * has to forward to.
 */
export interface DisseminationTarget {
  id: string;
  span: number;
}

/**
 * @param ring Ids of the live daemons, sorted.
 * @param span Number of daemons after `selfId` that the update has to reach.
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
