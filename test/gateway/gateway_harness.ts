/**
 * Test harness: a store, replicas and gateways of the users' platform on
 * loopback addresses, and a caller.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { Agent, request } from "node:http";
import {
  FakePlatformReplica,
  type ReceivedRequest,
} from "../../fakes/fake_platform_replica.ts";
import {
  buildPlatformConfiguration,
  buildPlatformRoute,
} from "../../fakes/platform_configuration.ts";
import { FakePlatformStore } from "../../fakes/fake_platform_store.ts";
import { EntryDecoder } from "../../platform/entry_decoder.ts";
import { PlatformHeaderCodec } from "../../platform/platform_header_codec.ts";
import { ReplicaClient } from "../../platform/replica_client.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { Gateway } from "../../src/gateway/gateway.ts";
import type { ChangeDecoder } from "../../src/gateway/ports.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { gatewaySettingsSchema } from "../../src/settings/gateway_settings.ts";
import { type PortReservation, reservePorts } from "../port_reservation.ts";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { callRaw, type RawAnswer, type RawCall } from "../raw_caller.ts";

/**
 * Ownership term of the gateways: short, so that a takeover fits into a test.
 */
export const TERM_MS = 600;

/** Time from the stop of a gateway until its process would be killed. */
export const GRACE_MS = 5_000;

/**
 * Time within which a change in the store is known everywhere: changes are
 * collected for 0.4 s, and peers compare their revisions each 0.2 s.
 */
const VIEW_MS = 1_500;

export interface CallerResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Whether the body is complete according to its framing. */
  isComplete: boolean;
  /** When its end was seen, on the clock of `performance.now()`. */
  endedAt: number;
}

export interface CallOptions {
  gateway?: number;
  id?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  /** The caller disconnects after this time. */
  disconnectAfterMs?: number;
}

/** What a raw call sets itself; the harness adds address and metadata. */
export interface RawCallOptions
  extends
    Pick<RawCall, "httpVersion">,
    Partial<Pick<RawCall, "headers" | "onBody" | "pauseMs">> {
  gateway?: number;
  id?: string;
}

export class GatewayHarness {
  readonly store = new FakePlatformStore();
  readonly engines: FakePlatformReplica[] = [];
  readonly services: FakePlatformReplica[] = [];
  readonly gateways: Gateway[] = [];
  readonly #agent = new Agent({ keepAlive: true });
  #ports: PortReservation | undefined;
  readonly #scriptedAnswers = new Map<string, ScriptedAnswer[]>();
  #version = 1;
  #lastId = 0;
  /** Retries that a service may have in ten seconds beside a share of its requests. */
  retrySlack = 58;
  /** Time that the engines' base model takes to load; the default if undefined. */
  modelLoadS: number | undefined;
  /** Maximum size of a request's body; the default if undefined. */
  maxBodyBytes: number | undefined;
  /** Returns what a gateway reads the store's entries with. */
  createDecoder: (gateway: number) => ChangeDecoder = () => new EntryDecoder();
  /** Called before the gateways start. */
  arrange: () => void | Promise<void> = () => {};
  /** Customers of the configuration, as the operator writes them. */
  tenants: object[] | undefined;
  /** Routes that each published configuration has beside its own. */
  extraRoutes: object[] = [];
  /** Setting `callers.maxConnections`; the default if undefined. */
  maxCallerConnections: number | undefined;
  /** Route fields that differ from the defaults, by route name. */
  routeOverrides: Record<string, object> = {};

  async start(sizes: {
    gateways: number;
    engines: number;
    services: number;
  }): Promise<void> {
    this.#ports = await reservePorts(process.pid);
    await this.store.start();
    for (let index = 0; index < sizes.engines; index += 1) {
      this.engines.push(new FakePlatformReplica(`i-engine${index}`, true));
    }
    for (let index = 0; index < sizes.services; index += 1) {
      this.services.push(new FakePlatformReplica(`i-plain${index}`, false));
    }
    for (const replica of [...this.engines, ...this.services]) {
      replica.scriptedAnswers = this.#scriptedAnswers;
      await replica.start();
      this.register(replica);
    }
    this.publish();
    await this.arrange();
    for (let index = 0; index < sizes.gateways; index += 1) {
      const gateway = this.createGateway(index);
      this.gateways.push(gateway);
      await gateway.start();
    }
    await this.waitUntilReady(sizes.gateways);
  }

  get #port(): number {
    if (!this.#ports) throw new Error("expected reserved ports, actual none");
    return this.#ports.port;
  }

  /**
   * Returns the port on which the gateways accept callers, each at an address
   * of its own.
   */
  getCallerPort(): number {
    return this.#port;
  }

  /** Returns the content of a gateway's settings file. */
  describeSettings(index: number): object {
    const ip = `127.0.0.${index + 1}`;
    return {
      host: `host-${index}`,
      failureDomain: "zone-a",
      callers: {
        listen: `${ip}:${this.#port}`,
        maxConnections: this.maxCallerConnections,
      },
      readiness: { listen: `${ip}:${this.#port + 1}` },
      peers: {
        listen: `${ip}:${this.#port + 2}`,
        port: this.#port + 3,
        seeds: [`127.0.0.1:${this.#port + 2}`],
      },
      metrics: { port: this.#port + 4 },
      store: { address: this.store.address },
      orders: { termMs: TERM_MS },
      repeats: { ratio: 0.2, windowMs: 10_000, slack: this.retrySlack },
      stop: { graceMs: GRACE_MS },
      logLevel: process.env["GATEWAY_LOG"] ?? "silent",
    };
  }

  createGateway(index: number): Gateway {
    const settings = gatewaySettingsSchema.parse(this.describeSettings(index));
    return new Gateway(settings, {
      headerCodec: new PlatformHeaderCodec(),
      decoder: this.createDecoder(index),
      createStore: (address, memory) => new StoreClient(address, memory),
      createEngineControl: (memory) => new ReplicaClient(memory),
    });
  }

  register(replica: FakePlatformReplica, state = "ready"): void {
    const service = replica.isEngine ? "briefs" : "orders";
    this.store.put(`servers/${replica.id}`, replica.describe(service, state));
  }

  /** The version that was published last. */
  get version(): number {
    return this.#version;
  }

  /**
   * Publishes a configuration version, by default the next one, with the
   * current route overrides.
   */
  publish(extraRoutes: object[] = [], version = this.#version + 3): void {
    this.#version = version;
    const create = (name: string, kind: string, service: string) =>
      buildPlatformRoute(name, kind, service, {
        timeout_ms: 3_000,
        ...this.routeOverrides[name],
      });
    this.store.put(
      "op/config",
      buildPlatformConfiguration(this.#version, [
        create("safe", "safe", "orders"),
        create("unsafe", "unsafe", "orders"),
        create("brief", "stream", "briefs"),
        create("resume", "stream", "briefs"),
        ...this.extraRoutes,
        ...extraRoutes,
      ], {
        modelLoadS: this.modelLoadS,
        maxBodyBytes: this.maxBodyBytes,
        tenants: this.tenants,
      }),
    );
  }

  /** Sets how the replicas answer the attempts of a request, in their order. */
  scriptAnswers(id: string, answers: ScriptedAnswer[]): void {
    this.#scriptedAnswers.set(id, answers);
  }

  #createHeaders(
    path: string,
    { id, headers }: {
      id?: string | undefined;
      headers?: Record<string, string> | undefined;
    },
  ): Record<string, string> {
    this.#lastId += 1;
    const isStream = path.startsWith("/brief") || path.startsWith("/resume");
    return {
      Host: "mill.example",
      "X-Request-Id": id ?? `request-${this.#lastId}`,
      "X-Deadline-Ms": "2500",
      ...(isStream ? { "X-Model": "m/a1", "X-Token-Counts": "400,20" } : {}),
      ...headers,
    };
  }

  /** Returns the bytes of a request without a body. */
  formatRequest(
    path: string,
    options: { id?: string; headers?: Record<string, string> } = {},
  ): string {
    const lines = Object.entries(this.#createHeaders(path, options))
      .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `POST ${path} HTTP/1.1\r\n${lines}Content-Length: 0\r\n\r\n`;
  }

  /** Sends a request as a caller on a plain socket does. */
  callRaw(path: string, options: RawCallOptions): Promise<RawAnswer> {
    return callRaw({
      host: `127.0.0.${(options.gateway ?? 0) + 1}`,
      port: this.#port,
      path,
      ...options,
      headers: this.#createHeaders(path, options),
    });
  }

  /** Sends a request as a caller does. */
  call(path: string, options: CallOptions = {}): Promise<CallerResponse> {
    const headers = this.#createHeaders(path, options);
    return new Promise((resolve, reject) => {
      const call = request({
        host: `127.0.0.${(options.gateway ?? 0) + 1}`,
        port: this.#port,
        path,
        method: options.method ?? "POST",
        headers,
        agent: this.#agent,
      }, (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => {});
        response.on("close", () => {
          // Before the body is built: a long one takes a while.
          const endedAt = performance.now();
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
            endedAt,
          });
        });
      });
      call.on("error", reject);
      if (options.disconnectAfterMs !== undefined) {
        setTimeout(() => call.destroy(), options.disconnectAfterMs);
      }
      call.end(options.body ?? "");
    });
  }

  async isReady(gateway: number): Promise<boolean> {
    try {
      const answer = await fetch(
        `http://127.0.0.${gateway + 1}:${this.#port + 1}/-/readyz`,
      );
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Waits until the gateways are ready and every engine has an owner. */
  async waitUntilReady(gateways: number): Promise<void> {
    await this.waitFor(async () => {
      for (let index = 0; index < gateways; index += 1) {
        if (!(await this.isReady(index))) return false;
      }
      return true;
    });
    // Gateways claim engines only after they have heard from their peers for
    // some seconds.
    await waitMs(3_200);
  }

  /** Waits until changes in the store have reached all gateways. */
  async waitForView(): Promise<void> {
    await waitMs(VIEW_MS);
  }

  async waitFor(
    check: () => boolean | Promise<boolean>,
    timeoutMs = 8_000,
  ): Promise<void> {
    const endsAt = Date.now() + timeoutMs;
    while (!(await check())) {
      if (Date.now() > endsAt) {
        throw new Error(`expected ${check} within ${timeoutMs} ms`);
      }
      await waitMs(20);
    }
  }

  /** Returns the runs of a request at all replicas. */
  listRuns(id: string): ReceivedRequest[] {
    return [...this.engines, ...this.services]
      .flatMap((replica) => replica.receivedRequests)
      .filter((seen) => seen.id === id);
  }

  countRuns(id: string): number {
    return this.listRuns(id).length;
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.stop()));
    this.#agent.destroy();
    for (const replica of [...this.engines, ...this.services]) replica.stop();
    this.store.stop();
    this.#ports?.release();
  }
}
