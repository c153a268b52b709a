/**
 * A port at which connections are not established: it belongs to a process that
 * is stopped, and its queue is full.
 */
import { type ChildProcess, spawn } from "node:child_process";
import type { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { waitMs } from "../src/gateway/wait.ts";

const PROGRAM = `
const server = require("node:net").createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () =>
  console.log(server.address().port));
`;
/** Connections after which the queue has to be full. */
const MAX_FILLERS = 10;
/** Time in which a connection is established, if there is room. */
const FILL_MS = 250;

export class HangingPort {
  #child: ChildProcess | undefined;
  #fillers: Socket[] = [];
  #port = 0;

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  async start(): Promise<void> {
    const child = spawn(process.execPath, ["-e", PROGRAM], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#child = child;
    const line = await new Promise<Buffer>((resolve) =>
      child.stdout.once("data", resolve)
    );
    this.#port = Number(line.toString());
    child.kill("SIGSTOP");
    while (await this.#isConnected()) {
      if (this.#fillers.length > MAX_FILLERS) {
        throw new Error(
          `expected a full queue after ${MAX_FILLERS} connections`,
        );
      }
    }
  }

  /** Adds a connection; returns whether it was established. */
  async #isConnected(): Promise<boolean> {
    const socket = connect(this.#port, "127.0.0.1");
    this.#fillers.push(socket);
    let isConnected = false;
    socket.once("connect", () => isConnected = true);
    socket.on("error", () => {});
    await waitMs(FILL_MS);
    return isConnected;
  }

  stop(): void {
    for (const socket of this.#fillers) socket.destroy();
    this.#child?.kill("SIGKILL");
  }
}
