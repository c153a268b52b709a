/** A loopback proxy that delays, resets, silences or cuts one way the connections through it. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export const ProxyFault = {
  None: "none",
  /** Every piece is held back. */
  Delay: "delay",
  /** Nothing passes, in either direction. */
  Silence: "silence",
  /** Nothing comes back. */
  CutAnswers: "cutAnswers",
} as const;
export type ProxyFault = (typeof ProxyFault)[keyof typeof ProxyFault];

const DELAY_MS = 150;

export class FaultProxy {
  readonly #target: string;
  readonly #server: Server = createServer((socket) => this.#join(socket));
  readonly #pairs = new Set<[Socket, Socket]>();
  #isStopped = false;
  fault: ProxyFault = ProxyFault.None;

  constructor(target: string) {
    this.#target = target;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** Resets every connection. */
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

  #join(inner: Socket): void {
    if (this.#isStopped) return void inner.destroy();
    const separator = this.#target.lastIndexOf(":");
    const outer = connect(
      Number(this.#target.slice(separator + 1)),
      this.#target.slice(0, separator),
    );
    const pair: [Socket, Socket] = [inner, outer];
    this.#pairs.add(pair);
    this.#pass(inner, outer, false);
    this.#pass(outer, inner, true);
    // A fault can keep the close of one side from the other: both count.
    const forget = () => {
      if (inner.closed && outer.closed) this.#pairs.delete(pair);
    };
    inner.once("close", forget);
    outer.once("close", forget);
  }

  #pass(from: Socket, to: Socket, isAnswer: boolean): void {
    from.on("data", (piece) => {
      switch (this.fault) {
        case ProxyFault.None:
          to.write(piece);
          break;
        case ProxyFault.Delay:
          setTimeout(() => to.write(piece), DELAY_MS);
          break;
        case ProxyFault.Silence:
          break;
        case ProxyFault.CutAnswers:
          if (!isAnswer) to.write(piece);
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
