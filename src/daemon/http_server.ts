/** Starts and stops HTTP servers on an IP address and port. */
import {
  createServer,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { parseSocketAddress } from "../core/socket_address.ts";
import { ActiveResponses } from "./response_abort.ts";
import { describeError, StepError } from "./step_error.ts";

const DEFAULT_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
/** Interval at which the timeouts of headers and bodies are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Time after which `close` destroys connections that are still active. */
const CLOSE_TIMEOUT_MS = 500;

/** The responses under way of each server that `createHttpServer` made. */
const activeResponses = new WeakMap<Server, ActiveResponses>();

export function createHttpServer(
  listener: RequestListener,
  limits: {
    maxConnections?: number;
    maxHeaderBytes?: number;
    headersTimeoutMs?: number;
    requestTimeoutMs?: number;
  } = {},
): Server {
  const server = createServer({
    headersTimeout: limits.headersTimeoutMs ?? DEFAULT_TIMEOUT_MS,
    requestTimeout: limits.requestTimeoutMs ?? DEFAULT_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    ...(limits.maxHeaderBytes === undefined
      ? {}
      : { maxHeaderSize: limits.maxHeaderBytes }),
  }, listener);
  const responses = new ActiveResponses();
  activeResponses.set(server, responses);
  // Before the listener above, which may answer at once.
  server.prependListener(
    "request",
    (_request, response) => responses.add(response),
  );
  if (limits.maxConnections) server.maxConnections = limits.maxConnections;
  return server;
}

/** Listens and returns the port number, which the system assigns for port 0. */
export async function listen(server: Server, address: string): Promise<number> {
  const { host, port } = parseSocketAddress(address);
  await new Promise<void>((resolve, reject) => {
    const handleError = (cause: Error): void => {
      server.off("listening", handleListening);
      reject(
        new StepError(describeError(cause), {
          step: "listen",
          peer: address,
          cause,
        }),
      );
    };
    const handleListening = (): void => {
      server.off("error", handleError);
      resolve();
    };
    server.once("error", handleError);
    server.once("listening", handleListening);
    server.listen(port, host);
  });
  return (server.address() as AddressInfo).port;
}

/** Lets each connection be closed after its last response, if that has not begun. */
export function closeAfterResponses(server: Server): void {
  activeResponses.get(server)?.closeConnections();
}

/** Calls the listener when the caller has left before the response was ended. */
export function onDeparture(
  server: Server,
  response: ServerResponse,
  listener: () => void,
): void {
  activeResponses.get(server)?.onDeparture(response, listener);
}

/** Lists the responses under way on a connection, in the order of their requests. */
export function listResponses(
  server: Server,
  socket: Socket,
): ServerResponse[] {
  return activeResponses.get(server)?.list(socket) ?? [];
}

/** Lists the responses that have not begun. */
export function listUnbegunResponses(server: Server): ServerResponse[] {
  return activeResponses.get(server)?.listUnbegun() ?? [];
}

/** Waits until the responses that have begun are sent, at most for `timeoutMs`. */
export async function waitUntilSent(
  server: Server,
  timeoutMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, Math.max(0, timeoutMs));
  });
  await Promise.race([activeResponses.get(server)?.waitUntilSent(), timedOut]);
  clearTimeout(timer);
}

/** Stops accepting connections and closes idle ones; active ones are destroyed after `CLOSE_TIMEOUT_MS`. */
export async function close(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(() => {
      activeResponses.get(server)?.abortAll();
      server.closeAllConnections();
    }, CLOSE_TIMEOUT_MS);
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
