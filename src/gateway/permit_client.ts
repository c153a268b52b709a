/**
 * Asks engines' holders for places on behalf of this daemon's callers, and keeps
 * the runs that came of it, so that a new holder can be told of them.
 */
import type { BatchDemand } from "../core/admission/batch_room.ts";
import {
  DenialReason,
  type PermitAnswer,
  type PermitRequest,
} from "../core/admission/engine_desk.ts";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import { ToldHolders } from "../core/fleet/told_holders.ts";
import { RunEstimator } from "../core/admission/run_pace.ts";
import { PermitReleaseRetryQueue } from "../core/admission/undelivered_returns.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** Period in which returns that did not reach a holder are looked at. */
const RETURNS_INTERVAL_MS = 200;
/** Runs told in one message, so that it stays one datagram. */
const MAX_RUNS_PER_MESSAGE = 6;
/** Added to a permit's patience for the way there and back. */
const ANSWER_SLACK_MS = 150;

/** The answer to a permit request, and the daemon that gave it. */
export interface PermitReply {
  answer: PermitAnswer;
  grantorId: string;
}

/** A run of this daemon at an engine, and the holder that knows of it. */
export interface OwnRun extends BatchDemand {
  startedAt: Milliseconds;
  engineId: string;
  permitId: string;
  endsAt: Milliseconds;
  knownTo: string | undefined;
}

/** What gives a permit back. */
type ReturnMessage = Extract<
  GatewayMessage,
  { kind: "permitReleased" | "permitUnusable" }
>;

interface PendingPermit {
  settle: (reply: PermitReply) => void;
}

export interface PermitClientOptions {
  selfId: string;
  termMs: Milliseconds;
  fleet: FleetView;
  /** Whether this daemon gives the engine's orders. */
  isHeldHere: (engineId: string) => boolean;
  isStopping: () => boolean;
  /** Who gives each engine's orders, as far as is known; this daemon included. */
  listHolders: (now: Milliseconds) => ReadonlyMap<string, string>;
  /** Sends until the receiver acknowledges; resolves to false when it does not. */
  send: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends what may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #pendingPermits = new Map<string, PendingPermit>();
  readonly #ownRuns = new Map<string, OwnRun>();
  readonly #toldHolders = new ToldHolders();
  readonly #returns = new PermitReleaseRetryQueue<ReturnMessage>();
  /** Holders that have been told of the runs here, by engine. */
  readonly #informed = new Map<string, string>();
  #lastReturnsAt = Number.NEGATIVE_INFINITY;
  readonly #pace = new RunEstimator();

  constructor(options: PermitClientOptions) {
    this.#options = options;
  }

  /** Asks the engine's holder for a place, and whom it names where it is not the holder; always resolves. */
  async askPermit(
    engine: PublishedUpstream,
    request: PermitRequest,
  ): Promise<PermitReply> {
    const asked = this.#findHolder(engine);
    const reply = await this.#askDaemon(asked, engine, request);
    const { answer } = reply;
    const isElsewhere = answer.kind === "denied" &&
      answer.reason === DenialReason.NotOwner;
    if (!isElsewhere) return reply;
    this.#toldHolders.forget(engine.id);
    const { knownHolder } = answer;
    if (knownHolder === undefined || knownHolder === asked) {
      this.#toldHolders.recordUnheld(engine.id, performance.now());
      return reply;
    }
    this.#toldHolders.record(engine.id, knownHolder, performance.now());
    return await this.#askDaemon(knownHolder, engine, request);
  }

  /** Returns whether nobody held the engine when it was last asked for, a moment ago. */
  isUnheld(engineId: string, now: Milliseconds): boolean {
    return this.#toldHolders.isUnheld(engineId, now);
  }

  /** Returns who holds the engine: by its own word, by that of one who was asked, or by rank. */
  #findHolder(engine: PublishedUpstream): string | undefined {
    const { fleet, selfId, isHeldHere, isStopping } = this.#options;
    const now = performance.now();
    if (isHeldHere(engine.id)) return selfId;
    const told = this.#toldHolders.find(engine.id, now);
    if (told !== undefined && fleet.isLiving(told, now)) return told;
    return fleet.findHolder(engine.id, now) ??
      fleet.rankHolders(engine, isStopping(), now)[0]?.id;
  }

  async #askDaemon(
    holderId: string | undefined,
    engine: PublishedUpstream,
    request: PermitRequest,
  ): Promise<PermitReply> {
    const createDenial = (reason: DenialReason): PermitReply => ({
      answer: {
        kind: "denied",
        permitId: request.permitId,
        holder: this.#options.selfId,
        reason,
        retryAfterMs: this.#options.termMs,
      },
      grantorId: holderId ?? "",
    });
    if (holderId === undefined) return createDenial(DenialReason.NotOwner);
    return await new Promise<PermitReply>((resolve) => {
      const key = formatPermitKey(engine.id, request.permitId);
      const settle = (reply: PermitReply): void => {
        clearTimeout(timer);
        this.#pendingPermits.delete(key);
        resolve(reply);
      };
      const timer = setTimeout(
        () => settle(createDenial(DenialReason.Overdue)),
        request.patienceMs + ANSWER_SLACK_MS,
      );
      this.#pendingPermits.set(key, { settle });
      void this.#options.send(holderId, {
        kind: "permitRequest",
        engineId: engine.id,
        request,
      }).then((isDelivered) => {
        if (!isDelivered) settle(createDenial(DenialReason.NotOwner));
      });
    });
  }

  /** Mean duration of this daemon's runs, from place to end. */
  get meanRunMs(): Milliseconds {
    return this.#pace.meanRunMs;
  }

  /** Notes a run of this daemon at an engine, so that a new holder can be told. */
  addRun(run: OwnRun): void {
    this.#ownRuns.set(run.permitId, run);
  }

  /** Tells the daemon that counts a run of this one something about it. */
  notifyHolder(
    message: Extract<
      GatewayMessage,
      { kind: "permitReleased" | "firstToken" | "permitUnusable" }
    >,
  ): void {
    const run = this.#ownRuns.get(message.permitId);
    const { sendOnce } = this.#options;
    switch (message.kind) {
      case "firstToken":
        // Lost ones are made up for: the holder takes a prompt for read after a while.
        if (run?.knownTo !== undefined) sendOnce(run.knownTo, message);
        break;
      case "permitReleased":
      case "permitUnusable":
        this.#ownRuns.delete(message.permitId);
        if (run && message.kind === "permitReleased") {
          this.#pace.recordRun(performance.now() - run.startedAt);
        }
        if (run?.knownTo !== undefined) {
          this.#returnPermit(message, run.knownTo, run.endsAt);
        }
        break;
    }
  }

  /** Tells the holder that a run is over, again once it is heard where it could not be reached. */
  #returnPermit(
    message: ReturnMessage,
    holderId: string,
    expiresAt: Milliseconds,
  ): void {
    void this.#options.send(holderId, message).then((isDelivered) => {
      const now = performance.now();
      this.#returns.recordSend(
        { message, ownerId: holderId, expiresAt },
        isDelivered,
        now,
      );
    });
  }

  /** Gives back to holders what did not reach them. */
  returnUndelivered(now: Milliseconds): void {
    if (now - this.#lastReturnsAt < RETURNS_INTERVAL_MS) return;
    this.#lastReturnsAt = now;
    const isLiving = (id: string) => this.#options.fleet.isLiving(id, now);
    for (const due of this.#returns.takeDue(isLiving, now)) {
      this.#returnPermit(due.message, due.ownerId, due.expiresAt);
    }
  }

  /** Tells each new holder of an engine all runs that this daemon has there, also that it has none. */
  notifyHolders(now: Milliseconds): void {
    const holders = this.#options.listHolders(now);
    for (const [engineId, holderId] of holders) {
      if (this.#informed.get(engineId) === holderId) continue;
      this.#informed.set(engineId, holderId);
      const runs = [...this.#ownRuns.values()].filter((run) =>
        run.engineId === engineId
      );
      for (const run of runs) run.knownTo = holderId;
      this.#sendRuns(holderId, engineId, runs, now);
    }
    for (const engineId of this.#informed.keys()) {
      if (!holders.has(engineId)) this.#informed.delete(engineId);
    }
    this.#notifyUnpermitted(holders, now);
  }

  /** Tells holders of the runs that went without a permit since. */
  #notifyUnpermitted(
    holders: ReadonlyMap<string, string>,
    now: Milliseconds,
  ): void {
    for (const run of this.#ownRuns.values()) {
      const holderId = holders.get(run.engineId);
      if (run.knownTo !== undefined || holderId === undefined) continue;
      run.knownTo = holderId;
      this.#sendRuns(holderId, run.engineId, [run], now);
    }
  }

  #sendRuns(
    holderId: string,
    engineId: string,
    runs: readonly OwnRun[],
    now: Milliseconds,
  ): void {
    const described = runs.map((run) => ({
      permitId: run.permitId,
      adapterPath: run.adapterPath,
      promptTokens: run.promptTokens,
      outputTokens: run.outputTokens,
      promptParts: run.promptParts,
      lifetimeMs: Math.max(0, run.endsAt - now),
    }));
    // A daemon without runs says so, too.
    const messages = Math.max(1, Math.ceil(runs.length / MAX_RUNS_PER_MESSAGE));
    for (let index = 0; index < messages; index += 1) {
      const from = index * MAX_RUNS_PER_MESSAGE;
      void this.#options.send(holderId, {
        kind: "runsHeld",
        engineId,
        runs: described.slice(from, from + MAX_RUNS_PER_MESSAGE),
        total: runs.length,
      });
    }
  }

  /** Takes a holder's answer; a place that nobody waits for any more is given back. */
  settlePermit(
    engineId: string,
    answer: PermitAnswer,
    grantorId: string,
  ): void {
    const key = formatPermitKey(engineId, answer.permitId);
    const pending = this.#pendingPermits.get(key);
    if (pending) {
      pending.settle({ answer, grantorId });
      return;
    }
    if (answer.kind !== "granted") return;
    void this.#options.send(grantorId, {
      kind: "permitReleased",
      engineId,
      permitId: answer.permitId,
    });
  }
}

function formatPermitKey(engineId: string, permitId: string): string {
  return `${engineId} ${permitId}`;
}
