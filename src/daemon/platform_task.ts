/**
 * The task that reads the platform while the core asks for it: watches the tables
 * in the configuration service and polls the host list.
 */
import { Agent, request } from "undici";
import * as z from "zod";
import type { CoreEvent } from "../core/events.ts";
import { MAX_SMALL_CHUNKS } from "../core/execution/byte_accumulator.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import { applyCheckedDelta } from "../core/tables/table_schema.ts";
import type { TableSnapshot } from "../core/tables/table_snapshot.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import { TableFileSet } from "../settings/table_file_set.ts";
import type { TableFile, TableFileFault } from "../settings/table_files.ts";
import { readBody } from "./body_reader.ts";
import type { Bus } from "./bus.ts";
import type { Logger } from "./logger.ts";
import { describeError, StepError } from "./step_error.ts";
import { decodeHostList } from "./host_list_decoder.ts";
import { keysSchema, keyValueSchema } from "./upstream_schemas.ts";

/** Time for which one watch request waits for a newer revision. */
const WATCH_TIMEOUT_MS = 10_000;
/** Longest backoff between failed reads of the platform. */
const MAX_RETRY_DELAY_MS = 10_000;
/** Attempts to read all keys at the same revision before the read fails. */
const MAX_INCONSISTENT_READS = 5;
/** Maximum size of a response: one table file or the host list. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

export interface PlatformTaskOptions {
  settings: DaemonSettings;
  bus: Bus;
  logger: Logger;
  /** Budget for responses while they are read. */
  memory: MemoryBudget;
  /** Returns the active tables. */
  getTables: () => TableSnapshot | undefined;
}

export class PlatformTask {
  readonly #options: PlatformTaskOptions;
  readonly #agent = new Agent();
  readonly #fileSet = new TableFileSet();
  /** Aborts the reads in progress; undefined before the first. */
  #abortController: AbortController | undefined;
  #isBlocked = false;
  /** The entries of the host list that were left out last. */
  #unusableHosts: string | undefined;

  constructor(options: PlatformTaskOptions) {
    this.#options = options;
    options.bus.on("readPlatform", ({ isReading }) => {
      if (isReading) this.#start();
      else this.#abortController?.abort();
    });
  }

  async stop(): Promise<void> {
    this.#abortController?.abort();
    await this.#agent.destroy();
  }

  /** Stops communication with the platform, to simulate a network partition in tests. */
  setBlocked(isBlocked: boolean): void {
    this.#isBlocked = isBlocked;
  }

  #start(): void {
    this.#abortController?.abort();
    const abortController = new AbortController();
    this.#abortController = abortController;
    void this.#watchTables(abortController.signal);
    void this.#watchHosts(abortController.signal);
  }

  async #watchTables(signal: AbortSignal): Promise<void> {
    let knownRevision = 0;
    let failures = 0;
    while (!signal.aborted) {
      try {
        const revision = knownRevision === 0
          ? 0
          : await this.#awaitRevision(knownRevision, signal);
        if (knownRevision === 0 || revision > knownRevision) {
          knownRevision = await this.#publishTables(signal);
        } else await this.#emit(signal, { kind: "platformReached" });
        failures = 0;
      } catch (error) {
        failures += 1;
        knownRevision = 0;
        await this.#emit(signal, { kind: "platformUnreachable" });
        await this.#reportFailure("readTables", error, failures, signal);
      }
    }
  }

  /** Reads the tables and publishes them to the core if they are newer; returns their revision. */
  async #publishTables(signal: AbortSignal): Promise<number> {
    const { revision, files } = await this.#readFiles(signal);
    for (const file of files) {
      if (this.#fileSet.parseFile(file)) await this.#wait(0);
    }
    const snapshot = this.#options.getTables();
    if (snapshot && revision <= snapshot.revision) {
      if (revision < snapshot.revision) this.#countTables("stale");
      await this.#emit(signal, { kind: "platformReached" });
      return revision;
    }
    const delta = this.#fileSet.findDelta(files, revision);
    const isApplicable = delta !== undefined && snapshot !== undefined &&
      delta.fromRevision === snapshot.revision &&
      applyCheckedDelta(snapshot, delta).isOk();
    if (isApplicable) {
      this.#fileSet.setBaseline(files, revision);
      await this.#emit(signal, { kind: "tablesDeltaPublished", delta });
      return revision;
    }
    const tables = this.#fileSet.parseTables(files, revision);
    if (tables.isErr()) {
      await this.#reportInvalid(revision, tables.error, signal);
    } else {
      this.#fileSet.setBaseline(files, revision);
      await this.#emit(signal, {
        kind: "tablesPublished",
        tables: tables.value,
      });
    }
    return revision;
  }

  async #watchHosts(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      try {
        const { hostList, unusable } = decodeHostList(
          await this.#fetchJson(
            this.#options.settings.platform.hostList,
            "/v1/hosts",
            z.unknown(),
            signal,
          ),
        );
        this.#reportUnusable(unusable);
        await this.#emit(signal, { kind: "hostListPublished", hostList });
        failures = 0;
        await this.#wait(this.#options.settings.platform.pollIntervalMs);
      } catch (error) {
        failures += 1;
        await this.#reportFailure("readHostList", error, failures, signal);
      }
    }
  }

  /** Logs the entries of the host list that can't be used, when they change. */
  #reportUnusable(unusable: string | undefined): void {
    if (unusable === this.#unusableHosts) return;
    this.#unusableHosts = unusable;
    if (unusable === undefined) return;
    this.#options.logger.warn("Entries of the host list are left out", {
      step: "readHostList",
      peer: this.#options.settings.platform.hostList,
      entries: unusable,
    });
    void this.#options.bus.emit("count", {
      kind: "count",
      counter: "host_list",
      tag: "unusable",
    });
  }

  /** Reads all keys at the same revision. */
  async #readFiles(
    signal: AbortSignal,
  ): Promise<{ revision: number; files: TableFile[] }> {
    const { configuration } = this.#options.settings.platform;
    for (let attempt = 0; attempt < MAX_INCONSISTENT_READS; attempt += 1) {
      const { revision, keys } = await this.#fetchJson(
        configuration,
        "/v1/keys",
        keysSchema,
        signal,
      );
      const values = await Promise.all(
        keys.map((key) =>
          this.#fetchJson(
            configuration,
            `/v1/keys/${encodeURIComponent(key)}`,
            keyValueSchema,
            signal,
          )
        ),
      );
      if (values.some((value) => value.revision !== revision)) continue;
      const files = values.map((value, index) => ({
        name: keys[index] ?? "",
        text: value.value,
      }));
      return { revision, files };
    }
    throw new StepError(
      `Expected all keys at one revision, found several in each of ${MAX_INCONSISTENT_READS} attempts`,
      { step: "readTables", peer: configuration },
    );
  }

  async #reportInvalid(
    revision: number,
    faults: TableFileFault[],
    signal: AbortSignal,
  ): Promise<void> {
    this.#options.logger.error("Revision was rejected", {
      step: "checkTables",
      peer: this.#options.settings.platform.configuration,
      revision,
      faults,
    });
    this.#countTables("invalid");
    await this.#emit(signal, { kind: "platformReached" });
  }

  /** Counts a revision that is not published to the core. */
  #countTables(tag: "stale" | "invalid"): void {
    void this.#options.bus.emit("count", {
      kind: "count",
      counter: "tables",
      tag,
    });
  }

  /** Waits for a newer revision, at most `WATCH_TIMEOUT_MS`; returns the revision after that. */
  async #awaitRevision(
    knownRevision: number,
    signal: AbortSignal,
  ): Promise<number> {
    const { revision } = await this.#fetchJson(
      this.#options.settings.platform.configuration,
      `/v1/watch?after=${knownRevision}&waitMs=${WATCH_TIMEOUT_MS}`,
      keysSchema,
      signal,
      WATCH_TIMEOUT_MS,
    );
    return revision;
  }

  /** Passes the event to the core, unless the reads have been aborted. */
  async #emit(signal: AbortSignal, event: CoreEvent): Promise<void> {
    if (!signal.aborted) await this.#options.bus.emit("event", event);
  }

  async #fetchJson<Schema extends z.ZodType>(
    address: string,
    path: string,
    schema: Schema,
    signal: AbortSignal,
    extraTimeoutMs = 0,
  ): Promise<z.infer<Schema>> {
    if (this.#isBlocked) {
      throw new StepError("Blocked by a simulated partition", {
        step: "readPlatform",
        peer: address,
      });
    }
    const timeoutMs = this.#options.settings.platform.timeoutMs +
      extraTimeoutMs;
    const response = await request(`http://${address}${path}`, {
      dispatcher: this.#agent,
      signal: AbortSignal.any([
        signal,
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
    const body = await readBody(response.body, {
      maxBytes: MAX_RESPONSE_BYTES,
      memory: this.#options.memory,
      maxSmallChunks: MAX_SMALL_CHUNKS,
    });
    return schema.parse(JSON.parse(body.toString()));
  }

  async #reportFailure(
    step: string,
    error: unknown,
    failures: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) return;
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
    const { pollIntervalMs } = this.#options.settings.platform;
    await this.#wait(
      Math.min(MAX_RETRY_DELAY_MS, pollIntervalMs * 2 ** (failures - 1)),
    );
  }

  async #wait(ms: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, ms));
  }
}
