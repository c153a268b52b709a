/**
 * Agent whose kept connections carry nothing but answers to their own requests:
 * one on which bytes arrive while it is idle is closed, and so is one that a
 * caller of this module does not trust any more. The input of its connections
 * gets a bounded share of each turn of the event loop, as that of `PacedAgent`.
 */
import type { AgentOptions, ClientRequest, ClientRequestArgs } from "node:http";
import type { Socket, TcpNetConnectOpts } from "node:net";
import type { Milliseconds } from "../core/structures.ts";
import { HeadCheckedAgent } from "../daemon/head_checked_socket.ts";
import {
  openPacedSocket,
  type PacedSocketOptions,
} from "../daemon/paced_socket.ts";

const untrustedSockets = new WeakSet<Socket>();

/** Decides on connections that become idle, and hears how they end. */
export interface IdleObserver {
  /** Returns how long the connection is kept; 0 if it is closed. */
  decideIdleTime(socket: Socket): Milliseconds;
  /** Called when the upstream closes an idle connection. */
  handleIdleClose(socket: Socket): void;
}

/** Agent whose connections get a bounded share of each turn of the event loop. */
export class PacedAgent extends HeadCheckedAgent {
  readonly #pacing: PacedSocketOptions;

  constructor(options: AgentOptions, pacing: PacedSocketOptions) {
    super(options);
    this.#pacing = pacing;
  }

  override createConnection(connection: ClientRequestArgs): Socket {
    return openPacedSocket(this.#pacing, connection as TcpNetConnectOpts);
  }
}

export class CheckedAgent extends PacedAgent {
  readonly #observer: IdleObserver;
  /** One listener for all sockets, so that it can be removed. */
  readonly #handleEnd: (this: Socket) => void;

  constructor(
    options: AgentOptions,
    observer: IdleObserver,
    pacing: PacedSocketOptions,
  ) {
    super(options, pacing);
    this.#observer = observer;
    this.#handleEnd = function () {
      observer.handleIdleClose(this);
    };
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (untrustedSockets.has(socket)) return false;
    const idleMs = this.#observer.decideIdleTime(socket);
    if (idleMs <= 0) return false;
    // The base class reads the upstream's Keep-Alive header and may return
    // false.
    const keepAlive = super.keepSocketAlive as (socket: Socket) => unknown;
    if (keepAlive.call(this, socket) === false) return false;
    socket.setTimeout(idleMs);
    socket.on("data", dropConnection);
    socket.on("end", this.#handleEnd);
    socket.on("error", this.#handleEnd);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, call: ClientRequest): void {
    socket.removeListener("data", dropConnection);
    socket.removeListener("end", this.#handleEnd);
    socket.removeListener("error", this.#handleEnd);
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
