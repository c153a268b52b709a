/**
 * Fake model engine with batching, adapter slots, loads from the weight store,
 * fencing and injected faults.
 */
import { randomUUID } from "node:crypto";
import type { Request, Response } from "express";
import { FakeServer, waitMs } from "./fake_server.ts";
import {
  type AnswerIdentity,
  createAnswerIdentity,
  type RunFault,
} from "./run_fault.ts";
import {
  DEFAULT_FAULTS,
  type EngineFaults,
  type FakeEngineOptions,
} from "./engine_options.ts";
import {
  cutAnswer,
  type Run,
  type RunRecord,
  waitUntilCancelled,
} from "./engine_run.ts";
import { StreamLog } from "./stream_log.ts";

export class FakeEngine extends FakeServer<EngineFaults> {
  readonly options: FakeEngineOptions;
  /** All runs since this fake was created, across crashes. */
  readonly history: RunRecord[] = [];
  /** When the engine crashed, on the monotonic clock. */
  readonly crashTimes: number[] = [];
  /** Number of evictions of adapters that had running requests. */
  evictionsInUse = 0;
  /** Number of connections closed by the fault while their runs continued. */
  droppedConnections = 0;
  /** Highest fencing number accepted; tests may raise it. */
  fencing = 0;
  #incarnation = randomUUID().slice(0, 8);
  /**
   * Appended to each token, so that tests of slow readers can fill the socket
   * buffers.
   */
  tokenPadding = "";
  readonly #residents = new Set<string>();
  readonly #loading = new Set<string>();
  readonly #runs = new Map<string, Run>();
  /** Completed streamed runs, resumable for `resumeWindowMs`. */
  readonly #endedRuns = new Map<string, Run>();

  constructor(options: FakeEngineOptions) {
    super({ ...DEFAULT_FAULTS });
    this.options = options;
    this.app.get("/state", (_request, response) => this.#sendState(response));
    this.app.post("/v1/claim", (request, response) => {
      if (this.#checkFencing(request, response)) response.json({});
    });
    this.app.post(
      "/v1/load_lora_adapter",
      (request, response) => this.#load(request, response),
    );
    this.app.post(
      "/v1/unload_lora_adapter",
      (request, response) => this.#unload(request, response),
    );
    this.app.post(
      ["/v1/chat/completions", "/v1/completions"],
      (request, response) => this.#complete(request, response),
    );
    this.app.delete("/v1/requests/:id", (request, response) => {
      const run = this.#runs.get(String(request.params["id"]));
      if (run) run.isCancelled = true;
      response.status(run ? 200 : 404).json({});
    });
    this.app.get(
      "/v1/requests/:id/stream",
      (request, response) => this.#resume(request, response),
    );
    this.app.get("/history", (_request, response) => {
      response.json({
        history: this.history,
        evictionsInUse: this.evictionsInUse,
      });
    });
  }

  getResidents(): string[] {
    return [...this.#residents];
  }

  /**
   * Crashes: ends all runs, loses all adapters and the fencing number, and
   * listens again under a new incarnation after `restartAfterMs`.
   */
  async crash(): Promise<void> {
    this.crashTimes.push(performance.now());
    for (const record of this.history) {
      if (record.ended === "running") record.ended = "crashed";
    }
    this.#runs.clear();
    this.#endedRuns.clear();
    this.#residents.clear();
    this.#loading.clear();
    this.fencing = 0;
    this.#incarnation = randomUUID().slice(0, 8);
    await this.stop();
    await waitMs(this.faults.restartAfterMs);
    await this.restart();
  }

  #sendState(response: Response): void {
    if (this.faults.isStateHidden) {
      response.socket?.destroy();
      return;
    }
    const counts = new Map<string, number>();
    for (const run of this.#runs.values()) {
      counts.set(run.model, (counts.get(run.model) ?? 0) + 1);
    }
    const state = {
      incarnation: this.#incarnation,
      fencing: this.fencing,
      leaving: this.faults.leaving,
      residents: [...this.#residents].map((adapterKey) => ({
        adapterKey,
        inFlight: counts.get(adapterKey) ?? 0,
      })),
      running: this.#runs.size,
    };
    response.json(state);
  }

  #checkFencing(request: Request, response: Response): boolean {
    if (!this.options.checksFencing) return true;
    const fencing = Number(request.body?.fencing ?? 0);
    if (fencing < this.fencing) {
      response.status(412).json({ fencing: this.fencing });
      return false;
    }
    this.fencing = fencing;
    return true;
  }

  async #load(request: Request, response: Response): Promise<void> {
    if (!this.#checkFencing(request, response)) return;
    const adapterKey = String(request.body.lora_name);
    if (this.#residents.has(adapterKey)) {
      response.json({});
      return;
    }
    if (this.#residents.size + this.#loading.size >= this.options.slots) {
      response.status(507).json({ error: "no free slot" });
      return;
    }
    const incarnation = this.#incarnation;
    this.#loading.add(adapterKey);
    const isLoaded = await this.#fetchAdapter(adapterKey);
    if (incarnation !== this.#incarnation) return;
    this.#loading.delete(adapterKey);
    if (!isLoaded) {
      response.status(502).json({ error: "load failed" });
      return;
    }
    this.#residents.add(adapterKey);
    response.json({});
  }

  async #fetchAdapter(adapterKey: string): Promise<boolean> {
    if (this.faults.failLoads > 0) {
      this.faults.failLoads -= 1;
      await waitMs(this.options.loadTimeMs);
      return false;
    }
    if (this.options.storeAddress === undefined) {
      await waitMs(this.options.loadTimeMs);
      return true;
    }
    try {
      const response = await fetch(
        `http://${this.options.storeAddress}/adapters/${
          encodeURIComponent(adapterKey)
        }`,
      );
      await response.arrayBuffer();
      return response.ok;
    } catch {
      return false;
    }
  }

  #unload(request: Request, response: Response): void {
    if (!this.#checkFencing(request, response)) return;
    const adapterKey = String(request.body.lora_name);
    const isInUse = [...this.#runs.values()].some((run) =>
      run.model === adapterKey
    );
    if (isInUse) this.evictionsInUse += 1;
    this.#residents.delete(adapterKey);
    response.json({});
  }

  async #complete(request: Request, response: Response): Promise<void> {
    const model = String(request.body.model);
    const id = request.get("x-request-id") ?? randomUUID();
    if (this.faults.refuseRuns > 0) {
      this.faults.refuseRuns -= 1;
      response.status(503).json({ error: "refused" });
      return;
    }
    const fault = this.faults.nextRuns.shift();
    if (fault?.kind === "answerStatus") {
      response.status(fault.status).json({ error: "fault" });
      return;
    }
    if (!this.#residents.has(model)) {
      response.status(404).json({ error: `model ${model} is not resident` });
      return;
    }
    if (this.#runs.size >= this.options.batchSize) {
      response.status(503).json({ error: "batch is full" });
      return;
    }
    const body = JSON.stringify(request.body);
    const run: Run = {
      id,
      model,
      isCancelled: false,
      log: undefined,
      identity: undefined,
    };
    const record: RunRecord = { id, model, body, ended: "running" };
    this.#runs.set(id, run);
    this.history.push(record);
    if (body.includes(this.faults.crashMarker)) {
      this.#scheduleCrash();
      return;
    }
    await this.#generate(request, response, { run, record, fault });
    if (this.#runs.get(id) !== run) return;
    this.#runs.delete(id);
    if (record.ended === "completed" && run.log) this.#recordEndedRun(run);
  }

  #scheduleCrash(): void {
    const { crashDelayMs } = this.faults;
    if (crashDelayMs === 0) {
      void this.crash();
      return;
    }
    const incarnation = this.#incarnation;
    setTimeout(() => {
      if (this.#incarnation === incarnation) void this.crash();
    }, crashDelayMs);
  }

  #recordEndedRun(run: Run): void {
    this.#endedRuns.set(run.id, run);
    setTimeout(
      () => this.#endedRuns.delete(run.id),
      this.faults.resumeWindowMs,
    ).unref();
  }

  #resume(request: Request, response: Response): void {
    const id = String(request.params["id"]);
    const run = this.#runs.get(id) ?? this.#endedRuns.get(id);
    const after = Number(request.query["after"]);
    const isResumable = run?.log !== undefined && run.identity !== undefined &&
      !run.isCancelled && after <= run.log.eventCount;
    if (!isResumable) {
      response.status(404).json({
        error: `run ${id} is unknown or cannot be resumed`,
      });
      return;
    }
    this.#sendStreamHead(response, run.identity as AnswerIdentity);
    run.log?.attach(response, after);
  }

  #sendStreamHead(response: Response, identity: AnswerIdentity): void {
    response.set("x-served-model", identity.headerModel);
    response.set("x-request-id", identity.requestId);
    response.set("x-incarnation", this.#incarnation);
    response.set("content-type", "text/event-stream");
    response.flushHeaders();
  }

  async #generate(
    request: Request,
    response: Response,
    { run, record, fault }: {
      run: Run;
      record: RunRecord;
      fault: RunFault | undefined;
    },
  ): Promise<void> {
    const isStream = request.body.stream === true;
    if (this.faults.crossAnswers > 0) {
      this.faults.crossAnswers -= 1;
      fault ??= { kind: "wrongHeaderModel" };
    }
    if (fault?.kind === "stall") await waitUntilCancelled(run, response);
    if (fault?.kind === "cutBeforeHead") {
      cutAnswer(response, record);
      return;
    }
    const identity = createAnswerIdentity(run, fault);
    if (isStream) this.#sendStreamHead(response, identity);
    else {
      response.set("x-served-model", identity.headerModel);
      response.set("x-request-id", identity.requestId);
      if (fault?.kind === "cutAfterHead") response.flushHeaders();
    }
    if (fault?.kind === "cutAfterHead") {
      cutAnswer(response, record);
      return;
    }
    if (fault?.kind === "endlessEvents") {
      await sendEndlessEvents(response, identity);
      record.ended = "cancelled";
      return;
    }
    const log = isStream ? new StreamLog() : undefined;
    run.log = log;
    run.identity = identity;
    log?.attach(response, 0);
    const dropAfterTokens = [...this.faults.dropConnectionsAfter];
    const cutAfterTokens = this.faults.cutAfterTokens;
    const timeoutMs = Number(request.get("x-timeout-ms") ?? Infinity);
    const deadlineAt = performance.now() + timeoutMs;
    const { tokens, tokenIntervalMs } = this.options;
    const padding = this.tokenPadding;
    let text = "";
    for (let token = 0; token < tokens; token += 1) {
      await waitMs(tokenIntervalMs);
      if (record.ended === "crashed") return;
      const isCancelledOrLate = run.isCancelled ||
        performance.now() >= deadlineAt;
      const isAbandoned = log
        ? log.isAbandoned(this.faults.resumeWindowMs)
        : response.destroyed;
      if (isCancelledOrLate || isAbandoned) {
        record.ended = "cancelled";
        log?.cutConnection();
        response.destroy();
        return;
      }
      if (cutAfterTokens > 0 && token >= cutAfterTokens) {
        record.ended = "cut";
        log?.cutConnection();
        response.destroy();
        return;
      }
      const content = `${run.model}#${token} ${padding}`;
      text += content;
      if (log) {
        const event = {
          id: run.id,
          model: identity.bodyModel,
          choices: [{ index: 0, delta: { content } }],
        };
        const text = `data: ${JSON.stringify(event)}\n\n`;
        const isDropped = dropAfterTokens.includes(token) &&
          log.cutConnection(text.slice(0, 20));
        if (isDropped) this.droppedConnections += 1;
        log.add(text);
      }
    }
    if (fault?.kind === "cutMidAnswer") {
      response.write('data: {"choices":[{"ind');
      cutAnswer(response, record);
      return;
    }
    record.ended = "completed";
    if (log) {
      if (fault?.kind !== "omitEndMark") log.add("data: [DONE]\n\n");
      log.end();
      return;
    }
    response.json({
      id: run.id,
      model: identity.bodyModel,
      choices: [{ index: 0, message: { role: "assistant", content: text } }],
    });
  }
}

/** Sends events until the connection is closed. */
async function sendEndlessEvents(
  response: Response,
  { bodyModel }: AnswerIdentity,
): Promise<void> {
  const { socket } = response;
  if (!socket) return;
  const event = `data: ${JSON.stringify({ model: bodyModel })}\n\n`;
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
  const piece = chunk.repeat(Math.ceil(64 * 1024 / chunk.length));
  const send = (): void => {
    if (socket.destroyed) return;
    if (socket.write(piece)) setImmediate(send);
    else socket.once("drain", send);
  };
  await new Promise<void>((resolve) => {
    socket.once("close", resolve);
    send();
  });
}
