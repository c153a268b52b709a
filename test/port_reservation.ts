/**
 * Reserves disjoint port ranges for test files that run at the same time, in
 * one test run or several. A listening socket on the last port of a range is
 * its lock.
 */
import { createServer, type Server } from "node:net";

/** Number of ports in a range. */
const RANGE_SIZE = 100;
/**
 * All ranges lie below the ephemeral ports, which the kernel assigns to
 * connections and to fakes.
 */
const FIRST_PORT = 10_000;
const RANGE_COUNT = 200;

export interface PortReservation {
  /** First port of the reserved range. */
  port: number;
  release: () => void;
}

/**
 * Reserves the first free range, starting the search at the given index and
 * wrapping around.
 */
export async function reservePorts(
  startIndex: number,
): Promise<PortReservation> {
  for (let offset = 0; offset < RANGE_COUNT; offset += 1) {
    const port = FIRST_PORT + (startIndex + offset) % RANGE_COUNT * RANGE_SIZE;
    const lock = await tryListen(port + RANGE_SIZE - 1);
    if (lock) return { port, release: () => lock.close() };
  }
  throw new Error(`expected a free range of ${RANGE_SIZE} ports, actual none`);
}

function tryListen(port: number): Promise<Server | undefined> {
  // The lock must not keep the process of a test alive.
  const server = createServer().unref();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
