/** The task that reads the platform: the tables from the configuration service and the host list. */
import { Agent, request } from "undici";
import type { z } from "zod";
import type { HostListStructure, TablesStructure } from "../core/structures.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import { parseTables, type TableFileFault } from "../settings/table_files.ts";
import type { Bus } from "./bus.ts";
import type { Logger } from "./logger.ts";
import { describeError, StepError } from "./step_error.ts";
import {
  hostListSchema,
  keysSchema,
  keyValueSchema,
} from "./upstream_schemas.ts";

/** Longest wait of one watch. */
const WATCH_WAIT_MS = 10_000;
/** Readings of the keys that may disagree in revision before the reading is given up. */
const MAX_TORN_READINGS = 5;

export interface PlatformTaskOptions {
  settings: DaemonSettings;
  bus: Bus;
  logger: Logger;
}

export class PlatformTask {
  readonly #options: PlatformTaskOptions;
  readonly #agent = new Agent();
  readonly #abort = new AbortController();
  #isBlocked = false;

  constructor(options: PlatformTaskOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#followTables();
    void this.#followHosts();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#agent.destroy();
  }

  /** Cuts the way to the platform, for tests of partitions. */
  setBlocked(isBlocked: boolean): void {
    this.#isBlocked = isBlocked;
  }

  async #followTables(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        const tables = await this.#readTables();
        await this.#options.bus.emit("event", {
          kind: "tablesPublished",
          tables,
        });
        await this.#watch(tables.revision);
      } catch (error) {
        await this.#reportFailure("readTables", error);
      }
    }
  }

  async #followHosts(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        const hostList: HostListStructure = await this.#get(
          this.#options.settings.platform.hostList,
          "/v1/hosts",
          hostListSchema,
        );
        await this.#options.bus.emit("event", {
          kind: "hostListPublished",
          hostList,
        });
        await this.#pause();
      } catch (error) {
        await this.#reportFailure("readHostList", error);
      }
    }
  }

  /** Reads every key at one revision. */
  async #readTables(): Promise<TablesStructure> {
    const { configuration } = this.#options.settings.platform;
    for (let reading = 0; reading < MAX_TORN_READINGS; reading += 1) {
      const { revision, keys } = await this.#get(
        configuration,
        "/v1/keys",
        keysSchema,
      );
      const values = await Promise.all(
        keys.map((key) =>
          this.#get(
            configuration,
            `/v1/keys/${encodeURIComponent(key)}`,
            keyValueSchema,
          )
        ),
      );
      if (values.some((value) => value.revision !== revision)) continue;
      const files = values.map((value, index) => ({
        name: keys[index] ?? "",
        text: value.value,
      }));
      const tables = parseTables(files, revision);
      if (tables.isErr()) {
        await this.#reportInvalid(revision, tables.error);
        await this.#watch(revision);
        return await this.#readTables();
      }
      return tables.value;
    }
    throw new StepError(
      `Expected all keys at one revision, found several in ${MAX_TORN_READINGS} readings`,
      { step: "readTables", peer: configuration },
    );
  }

  async #reportInvalid(
    revision: number,
    faults: TableFileFault[],
  ): Promise<void> {
    this.#options.logger.error("Revision was rejected", {
      step: "checkTables",
      peer: this.#options.settings.platform.configuration,
      revision,
      faults,
    });
    void this.#options.bus.emit("count", {
      kind: "count",
      counter: "tables",
      tag: "invalid",
    });
    await this.#options.bus.emit("event", { kind: "platformUnreachable" });
  }

  async #watch(revision: number): Promise<void> {
    await this.#get(
      this.#options.settings.platform.configuration,
      `/v1/watch?after=${revision}&waitMs=${WATCH_WAIT_MS}`,
      keysSchema,
      WATCH_WAIT_MS,
    );
  }

  async #get<Schema extends z.ZodType>(
    address: string,
    path: string,
    schema: Schema,
    extraTimeoutMs = 0,
  ): Promise<z.infer<Schema>> {
    if (this.#isBlocked) {
      throw new StepError("Cut off", { step: "readPlatform", peer: address });
    }
    const timeoutMs = this.#options.settings.platform.timeoutMs +
      extraTimeoutMs;
    const response = await request(`http://${address}${path}`, {
      dispatcher: this.#agent,
      signal: AbortSignal.any([
        this.#abort.signal,
        AbortSignal.timeout(timeoutMs),
      ]),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new StepError(`Expected status 200, found ${response.statusCode}`, {
        step: "readPlatform",
        peer: address,
      });
    }
    return schema.parse(await response.body.json());
  }

  async #reportFailure(step: string, error: unknown): Promise<void> {
    if (this.#abort.signal.aborted) return;
    this.#options.logger.warn("Platform could not be read", {
      step,
      peer: error instanceof StepError ? error.peer : "platform",
      error: describeError(error),
    });
    void this.#options.bus.emit("count", {
      kind: "count",
      counter: "platform_unread",
      tag: step,
    });
    await this.#options.bus.emit("event", { kind: "platformUnreachable" });
    await this.#pause();
  }

  async #pause(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, this.#options.settings.platform.pollIntervalMs);
    });
  }
}
