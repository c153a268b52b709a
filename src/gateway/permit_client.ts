/**
 * Asks engines' holders for places on behalf of this daemon's callers, and keeps
 * the runs that came of it, so that a new holder can be told of them.
 */
import type { BatchDemand } from "../core/admission/batch_capacity.ts";
import {
  DenialReason,
  type PermitAnswer,
  type PermitRequest,
} from "../core/admission/admission_controller.ts";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import { OwnerHints } from "../core/fleet/owner_hints.ts";
import { RunEstimator } from "../core/admission/run_estimator.ts";
import { PermitReleaseRetryQueue } from "../core/admission/permit_release_retry_queue.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** Period in which returns that did not reach a holder are looked at. */
const RETURN_RETRY_INTERVAL_MS = 200;
/** Runs told in one message, so that it stays one datagram. */
const MAX_RUNS_PER_MESSAGE = 6;
/** Added to a permit's patience for the way there and back. */
const ROUND_TRIP_MARGIN_MS = 150;

/** The answer to a permit request, and the daemon that gave it. */
export interface PermitReply {
  answer: PermitAnswer;
  grantorId: string;
}

/** A run of this daemon at an engine, and the holder that knows of it. */
export interface DispatchedRun extends BatchDemand {
  startedAt: Milliseconds;
  engineId: string;
  permitId: string;
  endsAt: Milliseconds;
  reportedTo: string | undefined;
}

/** What gives a permit back. */
type PermitReturnMessage = Extract<
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
  isOwnedLocally: (engineId: string) => boolean;
  isStopping: () => boolean;
  /** Who gives each engine's orders, as far as is known; this daemon included. */
  listOwners: (now: Milliseconds) => ReadonlyMap<string, string>;
  /** Sends until the receiver acknowledges; resolves to false when it does not. */
  send: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends what may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #pendingPermits = new Map<string, PendingPermit>();
  readonly #dispatchedRuns = new Map<string, DispatchedRun>();
  readonly #ownerHints = new OwnerHints();
  readonly #undeliveredReturns = new PermitReleaseRetryQueue<
    PermitReturnMessage
  >();
  /** Holders that have been told of the runs here, by engine. */
  readonly #notifiedOwners = new Map<string, string>();
  #lastReturnRetryAt = Number.NEGATIVE_INFINITY;
  readonly #runEstimator = new RunEstimator();

  constructor(options: PermitClientOptions) {
    this.#options = options;
  }

  /** Asks the engine's holder for a place, and whom it names where it is not the holder; always resolves. */
  async requestPermit(
    engine: PublishedUpstream,
    request: PermitRequest,
  ): Promise<PermitReply> {
    const ownerId = this.#findOwner(engine);
    const reply = await this.#sendPermitRequest(ownerId, engine, request);
    const { answer } = reply;
    const isElsewhere = answer.kind === "denied" &&
      answer.reason === DenialReason.NotOwner;
    if (!isElsewhere) return reply;
    this.#ownerHints.forget(engine.id);
    const { knownHolder } = answer;
    if (knownHolder === undefined || knownHolder === ownerId) {
      this.#ownerHints.recordUnowned(engine.id, performance.now());
      return reply;
    }
    this.#ownerHints.record(engine.id, knownHolder, performance.now());
    return await this.#sendPermitRequest(knownHolder, engine, request);
  }

  /** Returns whether nobody held the engine when it was last asked for, a moment ago. */
  isUnowned(engineId: string, now: Milliseconds): boolean {
    return this.#ownerHints.isUnowned(engineId, now);
  }

  /** Returns who holds the engine: by its own word, by that of one who was asked, or by rank. */
  #findOwner(engine: PublishedUpstream): string | undefined {
    const { fleet, selfId, isOwnedLocally: isOwnedLocally, isStopping } =
      this.#options;
    const now = performance.now();
    if (isOwnedLocally(engine.id)) return selfId;
    const told = this.#ownerHints.find(engine.id, now);
    if (told !== undefined && fleet.isAlive(told, now)) return told;
    return fleet.findOwner(engine.id, now) ??
      fleet.rankOwners(engine, isStopping(), now)[0]?.id;
  }

  async #sendPermitRequest(
    ownerId: string | undefined,
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
      grantorId: ownerId ?? "",
    });
    if (ownerId === undefined) return createDenial(DenialReason.NotOwner);
    return await new Promise<PermitReply>((resolve) => {
      const key = formatPermitKey(engine.id, request.permitId);
      const settle = (reply: PermitReply): void => {
        clearTimeout(timer);
        this.#pendingPermits.delete(key);
        resolve(reply);
      };
      const timer = setTimeout(
        () => settle(createDenial(DenialReason.Overdue)),
        request.patienceMs + ROUND_TRIP_MARGIN_MS,
      );
      this.#pendingPermits.set(key, { settle });
      void this.#options.send(ownerId, {
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
    return this.#runEstimator.meanRunMs;
  }

  /** Notes a run of this daemon at an engine, so that a new holder can be told. */
  addRun(run: DispatchedRun): void {
    this.#dispatchedRuns.set(run.permitId, run);
  }

  /** Tells the daemon that counts a run of this one something about it. */
  notifyOwner(
    message: Extract<
      GatewayMessage,
      { kind: "permitReleased" | "firstToken" | "permitUnusable" }
    >,
  ): void {
    const run = this.#dispatchedRuns.get(message.permitId);
    const { sendOnce } = this.#options;
    switch (message.kind) {
      case "firstToken":
        // Lost ones are made up for: the holder takes a prompt for read after a while.
        if (run?.reportedTo !== undefined) sendOnce(run.reportedTo, message);
        break;
      case "permitReleased":
      case "permitUnusable":
        this.#dispatchedRuns.delete(message.permitId);
        if (run && message.kind === "permitReleased") {
          this.#runEstimator.recordRun(performance.now() - run.startedAt);
        }
        if (run?.reportedTo !== undefined) {
          this.#returnPermit(message, run.reportedTo, run.endsAt);
        }
        break;
    }
  }

  /** Tells the holder that a run is over, again once it is heard where it could not be reached. */
  #returnPermit(
    message: PermitReturnMessage,
    ownerId: string,
    expiresAt: Milliseconds,
  ): void {
    void this.#options.send(ownerId, message).then((isDelivered) => {
      const now = performance.now();
      this.#undeliveredReturns.recordSend(
        { message, ownerId: ownerId, expiresAt },
        isDelivered,
        now,
      );
    });
  }

  /** Gives back to holders what did not reach them. */
  retryUndeliveredReturns(now: Milliseconds): void {
    if (now - this.#lastReturnRetryAt < RETURN_RETRY_INTERVAL_MS) return;
    this.#lastReturnRetryAt = now;
    const isLiving = (id: string) => this.#options.fleet.isAlive(id, now);
    for (const due of this.#undeliveredReturns.takeDue(isLiving, now)) {
      this.#returnPermit(due.message, due.ownerId, due.expiresAt);
    }
  }

  /** Tells each new holder of an engine all runs that this daemon has there, also that it has none. */
  reportRunsToNewOwners(now: Milliseconds): void {
    const owners = this.#options.listOwners(now);
    for (const [engineId, ownerId] of owners) {
      if (this.#notifiedOwners.get(engineId) === ownerId) continue;
      this.#notifiedOwners.set(engineId, ownerId);
      const runs = [...this.#dispatchedRuns.values()].filter((run) =>
        run.engineId === engineId
      );
      for (const run of runs) run.reportedTo = ownerId;
      this.#sendRuns(ownerId, engineId, runs, now);
    }
    for (const engineId of this.#notifiedOwners.keys()) {
      if (!owners.has(engineId)) this.#notifiedOwners.delete(engineId);
    }
    this.#reportUnpermittedRuns(owners, now);
  }

  /** Tells holders of the runs that went without a permit since. */
  #reportUnpermittedRuns(
    owners: ReadonlyMap<string, string>,
    now: Milliseconds,
  ): void {
    for (const run of this.#dispatchedRuns.values()) {
      const ownerId = owners.get(run.engineId);
      if (run.reportedTo !== undefined || ownerId === undefined) continue;
      run.reportedTo = ownerId;
      this.#sendRuns(ownerId, run.engineId, [run], now);
    }
  }

  #sendRuns(
    ownerId: string,
    engineId: string,
    runs: readonly DispatchedRun[],
    now: Milliseconds,
  ): void {
    const reportedRuns = runs.map((run) => ({
      permitId: run.permitId,
      adapterPath: run.adapterPath,
      promptTokens: run.promptTokens,
      outputTokens: run.outputTokens,
      promptParts: run.promptParts,
      lifetimeMs: Math.max(0, run.endsAt - now),
    }));
    // A daemon without runs says so, too.
    const messageCount = Math.max(
      1,
      Math.ceil(runs.length / MAX_RUNS_PER_MESSAGE),
    );
    for (let index = 0; index < messageCount; index += 1) {
      const from = index * MAX_RUNS_PER_MESSAGE;
      void this.#options.send(ownerId, {
        kind: "runsHeld",
        engineId,
        runs: reportedRuns.slice(from, from + MAX_RUNS_PER_MESSAGE),
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
