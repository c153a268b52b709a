/** Stands in for a model engine: batching, adapter slots, loads from the weight store, fencing and faults. */
import { randomUUID } from "node:crypto";
import type { Request, Response } from "express";
import { FakeServer, waitMs } from "./fake_server.ts";
import { createAnswerIdentity, type RunFault } from "./run_fault.ts";

export interface FakeEngineOptions {
  slots: number;
  batchSize: number;
  checksFencing: boolean;
  /** Address of the weight store; loads take `loadTimeMs` without one. */
  storeAddress?: string;
  loadTimeMs: number;
  tokenIntervalMs: number;
  tokens: number;
}

export interface EngineFaults {
  /** Loads that fail from now on. */
  failLoads: number;
  /** Streams and answers that are cut after this many tokens; 0 for none. */
  cutAfterTokens: number;
  /** Answers that name another model from now on. */
  crossAnswers: number;
  /** Text in a body that crashes the engine. */
  crashMarker: string;
  /** Time after which a crashed engine listens again. */
  restartAfterMs: number;
  /** Lag of the in-flight counts. */
  reportLagMs: number;
  leaving: boolean;
  /** Runs refused before they start, from now on. */
  refuseRuns: number;
  /** Whether states are answered. */
  isStateHidden: boolean;
  /** Faults of the next runs, one each. */
  nextRuns: RunFault[];
}

const DEFAULT_FAULTS: EngineFaults = {
  failLoads: 0,
  cutAfterTokens: 0,
  crossAnswers: 0,
  crashMarker: "CRASH-ENGINE",
  restartAfterMs: 300,
  reportLagMs: 0,
  leaving: false,
  refuseRuns: 0,
  isStateHidden: false,
  nextRuns: [],
};

/** Time between looks at whether a stalled run has been cancelled. */
const POLL_INTERVAL_MS = 5;

interface Run {
  id: string;
  model: string;
  isCancelled: boolean;
}

/** A run as the engine saw it, for the checks of tests. */
export interface RunRecord {
  id: string;
  model: string;
  body: string;
  ended: "running" | "completed" | "cancelled" | "cut" | "crashed";
}

export class FakeEngine extends FakeServer<EngineFaults> {
  readonly options: FakeEngineOptions;
  /** Every run since the fake was made. */
  readonly history: RunRecord[] = [];
  /** Evictions of adapters on which runs were going on. */
  evictionsInUse = 0;
  /** Highest fencing number accepted, which tests may raise. */
  fencing = 0;
  #incarnation = randomUUID().slice(0, 8);
  /** Added to each token, for tests of slow readers. */
  tokenPadding = "";
  readonly #residents = new Set<string>();
  readonly #loading = new Set<string>();
  readonly #runs = new Map<string, Run>();

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

  /** Crashes: all runs end, all adapters are gone; listens again after the set time. */
  async crash(): Promise<void> {
    for (const record of this.history) {
      if (record.ended === "running") record.ended = "crashed";
    }
    this.#runs.clear();
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
    const run: Run = { id, model, isCancelled: false };
    const record: RunRecord = { id, model, body, ended: "running" };
    this.#runs.set(id, run);
    this.history.push(record);
    if (body.includes(this.faults.crashMarker)) {
      void this.crash();
      return;
    }
    await this.#generate(request, response, { run, record, fault });
    if (this.#runs.get(id) === run) this.#runs.delete(id);
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
    response.set("x-served-model", identity.headerModel);
    response.set("x-request-id", identity.requestId);
    if (isStream) response.set("content-type", "text/event-stream");
    if (isStream || fault?.kind === "cutAfterHead") response.flushHeaders();
    if (fault?.kind === "cutAfterHead") {
      cutAnswer(response, record);
      return;
    }
    const cutAfter = this.faults.cutAfterTokens;
    const timeoutMs = Number(request.get("x-timeout-ms") ?? Infinity);
    const endsAt = performance.now() + timeoutMs;
    const { tokens, tokenIntervalMs } = this.options;
    const padding = this.tokenPadding;
    let text = "";
    for (let token = 0; token < tokens; token += 1) {
      await waitMs(tokenIntervalMs);
      if (record.ended === "crashed") return;
      const isOver = run.isCancelled || performance.now() >= endsAt;
      if (isOver || response.destroyed) {
        record.ended = "cancelled";
        response.destroy();
        return;
      }
      if (cutAfter > 0 && token >= cutAfter) {
        record.ended = "cut";
        response.destroy();
        return;
      }
      const content = `${run.model}#${token} ${padding}`;
      text += content;
      if (isStream) {
        const event = {
          id: run.id,
          model: identity.bodyModel,
          choices: [{ index: 0, delta: { content } }],
        };
        response.write(`data: ${JSON.stringify(event)}\n\n`);
      }
    }
    if (fault?.kind === "cutMidAnswer") {
      response.write('data: {"choices":[{"ind');
      cutAnswer(response, record);
      return;
    }
    record.ended = "completed";
    if (isStream) {
      response.end(fault?.kind === "omitEndMark" ? "" : "data: [DONE]\n\n");
      return;
    }
    response.json({
      id: run.id,
      model: identity.bodyModel,
      choices: [{ index: 0, message: { role: "assistant", content: text } }],
    });
  }
}

/** Cuts the connection once what was written has left. */
function cutAnswer(response: Response, record: RunRecord): void {
  record.ended = "cut";
  setImmediate(() => response.destroy());
}

async function waitUntilCancelled(run: Run, response: Response): Promise<void> {
  while (!run.isCancelled && !response.destroyed) {
    await waitMs(POLL_INTERVAL_MS);
  }
}
