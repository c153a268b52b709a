/**
 * TCP proxy on loopback that injects faults into the connections through it: it
 * delays or drops data in both directions, drops responses only, or resets.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export const ProxyFault = {
  None: "none",
  /** Each chunk is forwarded after a delay. */
  Delay: "delay",
  /** All data is dropped, in both directions. */
  Silence: "silence",
  /** Data from the target is dropped. */
  CutAnswers: "cutAnswers",
} as const;
export type ProxyFault = (typeof ProxyFault)[keyof typeof ProxyFault];

const DELAY_MS = 150;

export class FaultProxy {
  readonly #target: string;
  readonly #server: Server = createServer((socket) => this.#accept(socket));
  readonly #pairs = new Set<[Socket, Socket]>();
  #isStopped = false;
  #port = 0;
  /** Number of connections accepted. */
  connectionCount = 0;
  fault: ProxyFault = ProxyFault.None;

  constructor(target: string) {
    this.#target = target;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Refuses new connections until the next start; existing ones live on. */
  refuseConnections(): void {
    this.#server.close();
  }

  /** Resets all connections. */
  resetAll(): void {
    for (const pair of this.#pairs) {
      for (const socket of pair) socket.resetAndDestroy();
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#server.close();
    this.resetAll();
  }

  #accept(callerSocket: Socket): void {
    if (this.#isStopped) return void callerSocket.destroy();
    this.connectionCount += 1;
    const separator = this.#target.lastIndexOf(":");
    const targetSocket = connect(
      Number(this.#target.slice(separator + 1)),
      this.#target.slice(0, separator),
    );
    const pair: [Socket, Socket] = [callerSocket, targetSocket];
    this.#pairs.add(pair);
    this.#forward(callerSocket, targetSocket, false);
    this.#forward(targetSocket, callerSocket, true);
    // A fault can prevent the close of one socket from reaching the other, so
    // the pair is removed only when both are closed.
    const removeClosedPair = () => {
      if (callerSocket.closed && targetSocket.closed) this.#pairs.delete(pair);
    };
    callerSocket.once("close", removeClosedPair);
    targetSocket.once("close", removeClosedPair);
  }

  #forward(from: Socket, to: Socket, isAnswer: boolean): void {
    from.on("data", (chunk) => {
      switch (this.fault) {
        case ProxyFault.None:
          to.write(chunk);
          break;
        case ProxyFault.Delay:
          setTimeout(() => to.write(chunk), DELAY_MS);
          break;
        case ProxyFault.Silence:
          break;
        case ProxyFault.CutAnswers:
          if (!isAnswer) to.write(chunk);
          break;
      }
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("end", () => {
      if (this.fault === ProxyFault.Delay) setTimeout(() => to.end(), DELAY_MS);
      else if (this.fault === ProxyFault.None) to.end();
    });
    from.on("close", (hadError) => {
      if (hadError) to.resetAndDestroy();
      else if (isAnswer && !from.readableEnded) to.resetAndDestroy();
    });
  }
}
