/** Starts and stops HTTP servers on an IP address and port. */
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Splits `IP:port`, with the IP in brackets for IPv6. */
export function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(separator + 1)),
  };
}

export function createHttpServer(
  listener: RequestListener,
  limits: {
    maxConnections?: number;
    headersTimeoutMs?: number;
    requestTimeoutMs?: number;
  } = {},
): Server {
  const server = createServer({
    headersTimeout: limits.headersTimeoutMs ?? 60_000,
    requestTimeout: limits.requestTimeoutMs ?? 60_000,
    keepAliveTimeout: 5_000,
  }, listener);
  if (limits.maxConnections) server.maxConnections = limits.maxConnections;
  return server;
}

/** Listens and returns the port, which the system chooses for port 0. */
export async function listen(server: Server, address: string): Promise<number> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return (server.address() as AddressInfo).port;
}

/** Stops accepting connections and closes those that are idle. */
export async function close(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
