/**
 * Requests permits from the owners of engines for this daemon's callers, and
 * keeps track of the runs that this daemon dispatched, so that they can be
 * reported to an engine's new owner.
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

/**
 * Interval between checks for undelivered permit releases that are due for a
 * retry.
 */
const RELEASE_RETRY_INTERVAL_MS = 200;
/** Maximum number of runs in one message, so that it fits into one datagram. */
const MAX_RUNS_PER_MESSAGE = 6;
/**
 * Added to the time that a request waits for a permit, for the messages to the
 * owner and back.
 */
const ROUND_TRIP_MARGIN_MS = 150;

/** The answer to a permit request, and the daemon that gave it. */
export interface PermitReply {
  answer: PermitAnswer;
  grantorId: string;
}

/**
 * A run that this daemon dispatched to an engine, and the owner that it was
 * reported to.
 */
export interface DispatchedRun extends BatchDemand {
  startedAt: Milliseconds;
  engineId: string;
  permitId: string;
  endsAt: Milliseconds;
  reportedTo: string | undefined;
}

/** Message that releases a permit. */
type PermitReleaseMessage = Extract<
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
  /** Returns whether this daemon is the engine's owner. */
  isOwnedLocally: (engineId: string) => boolean;
  isStopping: () => boolean;
  /** Returns the known owner of each engine, which may be this daemon. */
  listOwners: (now: Milliseconds) => ReadonlyMap<string, string>;
  /**
   * Sends with retries until the receiver acknowledges; resolves to false if it
   * never does.
   */
  send: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends without acknowledgement: the message may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #pendingPermits = new Map<string, PendingPermit>();
  readonly #dispatchedRuns = new Map<string, DispatchedRun>();
  readonly #ownerHints = new OwnerHints();
  readonly #releaseRetryQueue = new PermitReleaseRetryQueue<
    PermitReleaseMessage
  >();
  /**
   * The owner of each engine to which this daemon's runs have been reported.
   */
  readonly #notifiedOwners = new Map<string, string>();
  #lastReleaseRetryAt = Number.NEGATIVE_INFINITY;
  readonly #runEstimator = new RunEstimator();

  constructor(options: PermitClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a permit from the engine's owner. If the daemon asked is not the
   * owner and names another one, that one is asked. The promise always
   * resolves; without an answer, to a denial.
   */
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

  /**
   * Returns whether the engine had no owner when a permit for it was last
   * requested, a moment ago.
   */
  isUnowned(engineId: string, now: Milliseconds): boolean {
    return this.#ownerHints.isUnowned(engineId, now);
  }

  /**
   * Returns the engine's likely owner: this daemon if it owns the engine, else
   * the alive daemon that an earlier denial named, else the daemon whose
   * heartbeats say so, else the one that ranks first as its owner.
   */
  #findOwner(engine: PublishedUpstream): string | undefined {
    const { fleet, selfId, isOwnedLocally, isStopping } = this.#options;
    const now = performance.now();
    if (isOwnedLocally(engine.id)) return selfId;
    const hint = this.#ownerHints.find(engine.id, now);
    if (hint !== undefined && fleet.isAlive(hint, now)) return hint;
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

  /** Mean duration of this daemon's runs, from the permit to their end. */
  get meanRunMs(): Milliseconds {
    return this.#runEstimator.meanRunMs;
  }

  /**
   * Records a run that this daemon dispatched, so that it can be reported to a
   * new owner of the engine.
   */
  addRun(run: DispatchedRun): void {
    this.#dispatchedRuns.set(run.permitId, run);
  }

  /** Sends a message about a run to the owner that it was reported to. */
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
        // May be lost: after a while, the owner assumes that prefill has
        // finished.
        if (run?.reportedTo !== undefined) sendOnce(run.reportedTo, message);
        break;
      case "permitReleased":
      case "permitUnusable":
        this.#dispatchedRuns.delete(message.permitId);
        if (run && message.kind === "permitReleased") {
          this.#runEstimator.recordRun(performance.now() - run.startedAt);
        }
        if (run?.reportedTo !== undefined) {
          this.#releasePermit(message, run.reportedTo, run.endsAt);
        }
        break;
    }
  }

  /**
   * Releases a permit at the owner. If the owner can't be reached, this is
   * retried once it is heard from again.
   */
  #releasePermit(
    message: PermitReleaseMessage,
    ownerId: string,
    expiresAt: Milliseconds,
  ): void {
    void this.#options.send(ownerId, message).then((isDelivered) => {
      const now = performance.now();
      this.#releaseRetryQueue.recordSend(
        { message, ownerId, expiresAt },
        isDelivered,
        now,
      );
    });
  }

  /** Retries the permit releases that did not reach their owners. */
  retryUndeliveredReleases(now: Milliseconds): void {
    if (now - this.#lastReleaseRetryAt < RELEASE_RETRY_INTERVAL_MS) return;
    this.#lastReleaseRetryAt = now;
    const isAlive = (id: string) => this.#options.fleet.isAlive(id, now);
    for (const due of this.#releaseRetryQueue.takeDue(isAlive, now)) {
      this.#releasePermit(due.message, due.ownerId, due.expiresAt);
    }
  }

  /**
   * Reports this daemon's runs at an engine to each new owner of it. In a small
   * fleet an owner waits for the word of each daemon, so that it is also told if
   * there are none; in a large one it does not know them all.
   */
  reportRunsToNewOwners(now: Milliseconds): void {
    const isWordAwaited = this.#options.fleet.isFullMesh();
    const owners = this.#options.listOwners(now);
    for (const [engineId, ownerId] of owners) {
      if (this.#notifiedOwners.get(engineId) === ownerId) continue;
      this.#notifiedOwners.set(engineId, ownerId);
      const runs = [...this.#dispatchedRuns.values()].filter((run) =>
        run.engineId === engineId
      );
      for (const run of runs) run.reportedTo = ownerId;
      if (runs.length > 0 || isWordAwaited) {
        this.#sendRuns(ownerId, engineId, runs, now);
      }
    }
    for (const engineId of this.#notifiedOwners.keys()) {
      if (!owners.has(engineId)) this.#notifiedOwners.delete(engineId);
    }
    this.#reportUnpermittedRuns(owners, now);
  }

  /** Reports the runs that have been dispatched without a permit since. */
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
    // A message is also sent if there are no runs: it says so.
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

  /**
   * Takes an owner's answer. A permit that no request waits for any more is
   * released.
   */
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
