/**
 * Agent whose kept connections carry nothing but answers to their own requests:
 * one on which bytes arrive while it is idle is closed, and so is one that a
 * caller of this module does not trust any more.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

const untrustedSockets = new WeakSet<Socket>();

export class CheckedAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    if (untrustedSockets.has(socket)) return false;
    // The base class reads the upstream's Keep-Alive header and may return
    // false.
    const keepAlive = super.keepSocketAlive as (socket: Socket) => unknown;
    if (keepAlive.call(this, socket) === false) return false;
    socket.on("data", dropConnection);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, call: ClientRequest): void {
    socket.removeListener("data", dropConnection);
    super.reuseSocket(socket, call);
  }
}

/** Lets no other request use the connection after the current one. */
export function excludeFromReuse(socket: Socket): void {
  untrustedSockets.add(socket);
}

function dropConnection(this: Socket): void {
  this.destroy();
}
