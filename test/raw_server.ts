/** A server on a plain socket, whose answers need not be sound. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

export interface RawServer {
  /** `IP:port`. */
  address: string;
  close: () => void;
}

/** @param answer called once a connection, with the first bytes of a request. */
export async function startRawServer(
  answer: (socket: Socket, bytes: Uint8Array) => void,
): Promise<RawServer> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (bytes) => answer(socket, bytes));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, close: () => void server.close() };
}
