/**
 * Accepts connections at the peers' port within a limit, and passes those whose
 * clients have begun to speak to the gRPC server. grpc-js limits no connections
 * and does not show those that it accepted itself.
 */
import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Server as TcpServer,
  type Socket,
} from "node:net";
import { performance } from "node:perf_hooks";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:tls";
import {
  ConnectionAdmission,
  type ConnectionDecision,
} from "../core/limits/connection_admission.ts";
import { parseSocketAddress } from "../core/socket_address.ts";
import { classifyPreface, PrefaceState } from "../protocol/http2_preface.ts";
import { CutReason, type CutReporter } from "./cut_reporter.ts";

const PORT_NAME = "peers";
/**
 * Idle time after which the system probes a connection: peers send several
 * messages a second, and a host that was lost would keep its place otherwise.
 */
const KEEP_ALIVE_DELAY_MS = 30_000;

/** Contents of PEM files. */
export interface TlsFiles {
  authority: Buffer;
  key: Buffer;
  certificate: Buffer;
}

export interface PeerListenerOptions {
  maxConnections: number;
  /** Mutual TLS; plaintext without it. */
  tls: TlsFiles | undefined;
  cuts: CutReporter;
  /** Serves a connection, whose input from its beginning can still be read. */
  serve: (connection: Socket) => void;
}

export class PeerListener {
  readonly #options: PeerListenerOptions;
  readonly #admission: ConnectionAdmission<Socket>;
  readonly #server: TcpServer;
  readonly #tlsServer: TlsServer | undefined;
  /** Connections without TLS handshake yet, by the address and port of the client. */
  readonly #handshakes = new Map<string, Socket>();

  constructor(options: PeerListenerOptions) {
    this.#options = options;
    this.#admission = new ConnectionAdmission(options.maxConnections);
    this.#tlsServer = options.tls && this.#createTlsServer(options.tls);
    this.#server = createTcpServer({
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
    }, (socket) => this.#accept(socket));
  }

  /** Listens; returns the port number, which the system assigns for port 0. */
  async listen(address: string): Promise<number> {
    const { host, port } = parseSocketAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#admission.list()) socket.destroy();
  }

  #createTlsServer({ authority, key, certificate }: TlsFiles): TlsServer {
    const server = createTlsServer({
      ca: authority,
      key,
      cert: certificate,
      requestCert: true,
      rejectUnauthorized: true,
      ALPNProtocols: ["h2"],
    });
    server.on("secureConnection", (secured: Socket) => {
      const clientKey = formatClientKey(secured);
      const socket = this.#handshakes.get(clientKey);
      this.#handshakes.delete(clientKey);
      secured.on("error", () => {});
      if (socket) this.#awaitPreface(socket, secured);
      else secured.destroy();
    });
    return server;
  }

  #accept(socket: Socket): void {
    socket.on("error", () => {});
    const decision = this.#admission.admit(socket);
    this.#closeSurplus(socket, decision);
    if (decision.kind === "refused") return;
    socket.once("close", () => this.#admission.remove(socket));
    if (!this.#tlsServer) {
      this.#awaitPreface(socket, socket);
      return;
    }
    const clientKey = formatClientKey(socket);
    this.#handshakes.set(clientKey, socket);
    socket.once("close", () => {
      if (this.#handshakes.get(clientKey) === socket) {
        this.#handshakes.delete(clientKey);
      }
    });
    this.#tlsServer.emit("connection", socket);
  }

  #closeSurplus(socket: Socket, decision: ConnectionDecision<Socket>): void {
    switch (decision.kind) {
      case "accepted":
        break;
      case "replacing":
        this.#cut(decision.replaced, CutReason.Idle);
        break;
      case "refused":
        this.#cut(socket, CutReason.Full);
        break;
    }
  }

  #cut(socket: Socket, reason: CutReason): void {
    this.#options.cuts.report({
      reason,
      port: PORT_NAME,
      client: socket.remoteAddress ?? "",
      unanswered: 0,
    }, performance.now());
    socket.destroy();
  }

  /**
   * Serves the connection once its HTTP/2 preface has arrived. One that begins
   * with something else is passed on as well, and closed by the server.
   *
   * @param stream what the client's input is read from: the connection itself,
   *   or TLS on it
   */
  #awaitPreface(connection: Socket, stream: Socket): void {
    let input: Buffer = Buffer.alloc(0);
    const read = (chunk: Buffer): void => {
      input = Buffer.concat([input, chunk]);
      const state = classifyPreface(input);
      if (state === PrefaceState.Incomplete) return;
      stream.off("data", read);
      stream.pause();
      stream.unshift(input);
      if (state === PrefaceState.Complete) this.#admission.confirm(connection);
      this.#options.serve(stream);
    };
    stream.on("data", read);
  }
}

function formatClientKey({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}
