/**
 * Connection on which the heads of responses are checked before they are parsed.
 * A broken head ends the connection with an error, so that no part of it becomes
 * a response.
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequestArgs } from "node:http";
import { Socket, type TcpNetConnectOpts } from "node:net";
import { ResponseHeadChecker } from "../core/execution/response_head_checker.ts";

export class HeadCheckedSocket extends Socket {
  #checker: ResponseHeadChecker | undefined;

  /** Checks the input from now on, to the end of a response's head. */
  checkNextHead(): void {
    this.#checker = new ResponseHeadChecker();
  }

  override push(input: Buffer | null, encoding?: BufferEncoding): boolean {
    const fault = input && this.#checker?.check(input);
    if (fault) {
      this.destroy(new Error(fault));
      return false;
    }
    if (this.#checker?.isDone) this.#checker = undefined;
    return super.push(input, encoding);
  }
}

/** Connects the socket as `net.connect` does. */
export function openSocket<ConnectingSocket extends Socket>(
  socket: ConnectingSocket,
  connection: TcpNetConnectOpts,
): ConnectingSocket {
  if (connection.timeout) socket.setTimeout(connection.timeout);
  socket.connect(connection);
  return socket;
}

/** Checks the next head on the connection of an agent of this module. */
export function checkNextHead(socket: Socket): void {
  if (!(socket instanceof HeadCheckedSocket)) {
    throw new TypeError("expected a connection that checks heads");
  }
  socket.checkNextHead();
}

/**
 * Agent whose connections check heads. Each request has its response checked by
 * `checkNextHead`, as Node.js may hand a kept connection on without its agent.
 */
export class HeadCheckedAgent extends Agent {
  override createConnection(connection: ClientRequestArgs): Socket {
    const options = connection as TcpNetConnectOpts;
    return openSocket(new HeadCheckedSocket(options), options);
  }
}
