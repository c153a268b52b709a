/**
 * Base class of the fakes: an express app on a loopback port whose faults can
 * be set with `PUT /faults`.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import express from "express";
import { createHttpServer, listen } from "../src/daemon/http_server.ts";

export abstract class FakeServer<Faults extends object> {
  readonly app: express.Express = express();
  faults: Faults;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;

  constructor(faults: Faults) {
    this.faults = faults;
    this.app.use(express.json({ limit: "4mb" }));
    this.app.put("/faults", (request, response) => {
      this.faults = { ...this.faults, ...request.body };
      response.json(this.faults);
    });
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  async start(port = 0): Promise<void> {
    const server = createHttpServer(this.app);
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#port = await listen(server, `127.0.0.1:${port}`);
    this.#server = server;
  }

  /** Closes the port and all connections immediately, as a crash would. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (!server) return;
    const closed = new Promise((resolve) => server.close(resolve));
    this.dropConnections();
    await closed;
  }

  /** Starts again on the same port. */
  async restart(): Promise<void> {
    await this.start(this.#port);
  }

  dropConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }
}

/**
 * Runs a fake as a program: prints its address as JSON and exits on SIGTERM or
 * SIGINT.
 */
export async function runFake<Faults extends object>(
  fake: FakeServer<Faults>,
  port: number,
): Promise<void> {
  await fake.start(port);
  console.log(JSON.stringify({ address: fake.address }));
  process.on("SIGTERM", () => process.exit(0));
  process.on("SIGINT", () => process.exit(0));
}

export async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
