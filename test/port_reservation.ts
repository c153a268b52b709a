/**
 * Keeps spans of ports apart that test files need beside each other, in one run of
 * the tests or in several: the last port of a span is held as its lock.
 */
import { createServer, type Server } from "node:net";

/** Ports of one span. */
const SPAN = 100;
/** Below the ports that the kernel gives to connections and to stand-ins. */
const FIRST_PORT = 10_000;
const SPANS = 200;

export interface PortReservation {
  /** First of the reserved ports. */
  port: number;
  release: () => void;
}

/** Reserves the first free span, from the given one on. */
export async function reservePorts(start: number): Promise<PortReservation> {
  for (let tried = 0; tried < SPANS; tried += 1) {
    const port = FIRST_PORT + (start + tried) % SPANS * SPAN;
    const lock = await tryListen(port + SPAN - 1);
    if (lock) return { port, release: () => lock.close() };
  }
  throw new Error(`expected a free span of ${SPAN} ports, actual none`);
}

function tryListen(port: number): Promise<Server | undefined> {
  // The lock alone keeps no test's process alive.
  const server = createServer().unref();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
