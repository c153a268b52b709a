/**
 * Simulates the daemon's upstream task: applies dispatches, orders and reads of
 * the state to the simulated upstreams over the simulated network.
 */
import type { DispatchEffect, Effect } from "../../src/core/effects.ts";
import type { OrderResult } from "../../src/core/events.ts";
import { type AttemptResult, Outcome } from "../../src/core/outcomes.ts";
import type { Call } from "./calls.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { ModelUpstream } from "./model_upstream.ts";
import type { World } from "./world.ts";

/** Maximum time until the daemon detects a lost connection. */
const MAX_LOSS_DETECTION_MS = 900;
const STATE_TIMEOUT_MS = 800;
const ORDER_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum time until the upstream task processes an effect. */
const MAX_TASK_DELAY_MS = 3;

interface OpenAttempt {
  effect: DispatchEffect;
  call: Call;
  isOpen: boolean;
  /** Whether a part of the answer was lost, so that no later part arrives. */
  isBroken: boolean;
  bytesForwarded: number;
  /**
   * Time at which the last part arrives; later parts must not overtake it on
   * the same connection.
   */
  lastArrivalAt: number;
}

export class UpstreamClient {
  readonly #daemon: DaemonProcess;
  readonly #world: World;
  /** Returns whether the daemon's incarnation that owns the client runs. */
  readonly #isCurrent: () => boolean;
  readonly #attempts = new Map<string, OpenAttempt>();

  constructor(daemon: DaemonProcess, world: World) {
    this.#daemon = daemon;
    this.#world = world;
    this.#isCurrent = daemon.createIncarnationCheck();
  }

  dispatch(effect: DispatchEffect): void {
    const call = this.#world.oracle.getCall(effect.requestId);
    if (!call) throw new Error(`Expected a call named ${effect.requestId}`);
    const attempt: OpenAttempt = {
      effect,
      call,
      isOpen: true,
      isBroken: false,
      bytesForwarded: 0,
      lastArrivalAt: 0,
    };
    this.#attempts.set(effect.attemptId, attempt);
    this.#daemon.runLocal(this.#drawTaskDelayMs(), () => this.#send(attempt));
    this.#daemon.runLocal(effect.timeoutMs, () => {
      if (!attempt.isOpen) return;
      this.#cancelOnUpstream(
        attempt,
        () => this.#end(attempt, { kind: "timedOut" }),
      );
    });
  }

  cancel(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt?.isOpen) return;
    this.#cancelOnUpstream(attempt, (isConfirmed) => {
      if (isConfirmed) this.#end(attempt, { kind: "cancelled" });
      else this.#endLost(attempt, "cancellation not confirmed");
    });
  }

  order(effect: Extract<Effect, { kind: "order" }>): void {
    this.#daemon.runLocal(this.#drawTaskDelayMs(), () => {
      this.#sendOrder(effect, (result) =>
        this.#daemon.handle({
          kind: "orderEnded",
          orderId: effect.orderId,
          result,
        }));
    });
  }

  readState(effect: Extract<Effect, { kind: "readUpstreamState" }>): void {
    const { upstreamId, readId } = effect;
    let isDone = false;
    const fail = (isRefused: boolean): void => {
      if (isDone) return;
      isDone = true;
      this.#daemon.handle({
        kind: "upstreamStateUnread",
        upstreamId,
        readId,
        isConnectionRefused: isRefused,
      });
    };
    this.#daemon.runLocal(STATE_TIMEOUT_MS, () => fail(false));
    this.#sendToUpstream(upstreamId, (upstream) => {
      if (!upstream.isUp) {
        this.#sendToDaemon(upstreamId, () => fail(true));
        return;
      }
      const state = upstream.getState();
      this.#sendToDaemon(upstreamId, () => {
        if (isDone) return;
        isDone = true;
        this.#daemon.handle({
          kind: "upstreamStateRead",
          upstreamId,
          readId,
          state,
        });
      });
    });
  }

  #send(attempt: OpenAttempt): void {
    const { effect, call } = attempt;
    const { network, trace } = this.#world;
    if (!attempt.isOpen) return;
    if (this.#daemon.readClock() >= effect.dispatchUntil) {
      this.#end(attempt, {
        kind: "notSent",
        detail: "dispatch window has ended",
      });
      return;
    }
    trace.add(
      this.#daemon.id,
      `dispatches ${call.id} as ${effect.attemptId} to ${effect.upstreamId}`,
    );
    if (network.isConnectionCut(this.#daemon.id, effect.upstreamId)) {
      this.#daemon.runLocal(
        this.#world.random.drawInteger(0, CONNECT_TIMEOUT_MS),
        () => {
          this.#end(attempt, { kind: "notSent", detail: "connect timed out" });
        },
      );
      return;
    }
    this.#sendToUpstream(
      effect.upstreamId,
      (upstream) => this.#begin(attempt, upstream),
      () => this.#scheduleLoss(attempt),
    );
  }

  #begin(attempt: OpenAttempt, upstream: ModelUpstream): void {
    const { effect, call } = attempt;
    if (!upstream.isUp) {
      this.#sendToDaemon(
        upstream.id,
        () => this.#end(attempt, { kind: "notSent", detail: "ECONNREFUSED" }),
      );
      return;
    }
    upstream.startRun({
      attemptId: effect.attemptId,
      callId: call.id,
      daemonId: this.#daemon.id,
      model: effect.upstreamKind === "engine" ? effect.model : "",
      durationMs: call.workItem.durationMs,
      timeoutMs: effect.timeoutMs,
      parts: call.workItem.parts,
      isCrashing: call.workItem.isCrashing,
    }, {
      receiveRefusal: () =>
        this.#answer(
          attempt,
          () =>
            this.#end(attempt, { kind: "refused", status: 503, detail: "" }),
        ),
      receiveBreak: () =>
        this.#answer(attempt, () => this.#endLost(attempt, "connection reset")),
      receivePart: (index, isLast, servedModel) =>
        this.#answer(
          attempt,
          () => this.#forward(attempt, { index, isLast, servedModel }),
        ),
    });
  }

  #forward(
    attempt: OpenAttempt,
    part: { index: number; isLast: boolean; servedModel: string },
  ): void {
    const { effect, call } = attempt;
    const isEngine = effect.upstreamKind === "engine";
    if (isEngine && part.servedModel !== effect.model) {
      attempt.isOpen = false;
      this.#cancelOnUpstream(attempt, () =>
        this.#finish(attempt, {
          kind: "wrongAdapter",
          servedModel: part.servedModel,
        }));
      return;
    }
    attempt.bytesForwarded += 1;
    if (!call.isCallerGone) {
      this.#world.oracle.recordPart(call, effect.attemptId, part.index);
    }
    if (!part.isLast) return;
    this.#end(attempt, { kind: "completed", servedModel: part.servedModel });
  }

  #end(attempt: OpenAttempt, result: AttemptResult): void {
    if (!attempt.isOpen) return;
    attempt.isOpen = false;
    this.#finish(attempt, result);
  }

  #finish(attempt: OpenAttempt, result: AttemptResult): void {
    const { effect, call } = attempt;
    this.#attempts.delete(effect.attemptId);
    this.#world.trace.add(
      this.#daemon.id,
      `attempt ${effect.attemptId} ends: ${result.kind}`,
    );
    this.#daemon.handle({
      kind: "attemptEnded",
      attemptId: effect.attemptId,
      result,
      ...(result.kind === "completed" ? { answer: createAnswer(call) } : {}),
    });
  }

  #endLost(attempt: OpenAttempt, detail: string): void {
    const { bytesForwarded } = attempt;
    this.#end(attempt, { kind: "lost", detail, bytesForwarded });
  }

  #scheduleLoss(attempt: OpenAttempt): void {
    this.#daemon.runLocal(
      this.#world.random.drawInteger(0, MAX_LOSS_DETECTION_MS),
      () => this.#endLost(attempt, "connection lost"),
    );
  }

  /**
   * Delivers a part of the upstream's answer over the attempt's connection in
   * order, or loses the attempt if the connection is cut.
   */
  #answer(attempt: OpenAttempt, handle: () => void): void {
    const { queue, network } = this.#world;
    const delayMs = network.drawUpstreamDelayMs();
    const arrivalAt = Math.max(queue.now + delayMs, attempt.lastArrivalAt);
    attempt.lastArrivalAt = arrivalAt;
    queue.schedule(arrivalAt - queue.now, () => {
      if (!this.#isCurrent() || !attempt.isOpen || attempt.isBroken) return;
      const { upstreamId } = attempt.effect;
      if (network.isConnectionCut(this.#daemon.id, upstreamId)) {
        attempt.isBroken = true;
        this.#scheduleLoss(attempt);
        return;
      }
      this.#daemon.runLocal(0, () => {
        if (attempt.isOpen) handle();
      });
    });
  }

  #cancelOnUpstream(
    attempt: OpenAttempt,
    finish: (isConfirmed: boolean) => void,
  ): void {
    const { upstreamId, attemptId, upstreamKind } = attempt.effect;
    if (upstreamKind !== "engine") {
      finish(false);
      return;
    }
    this.#sendToUpstream(upstreamId, (upstream) => {
      const isEnded = upstream.isUp && upstream.cancelRun(attemptId);
      this.#sendToDaemon(
        upstreamId,
        () => finish(isEnded),
        () => finish(false),
      );
    }, () => this.#daemon.runLocal(MAX_LOSS_DETECTION_MS, () => finish(false)));
  }

  #sendOrder(
    effect: Extract<Effect, { kind: "order" }>,
    finish: (result: OrderResult) => void,
  ): void {
    const { upstreamId, order, fencing } = effect;
    let isDone = false;
    const reply = (result: OrderResult): void => {
      if (isDone) return;
      isDone = true;
      finish(result);
    };
    if (this.#daemon.readClock() >= effect.sendUntil) {
      reply({ kind: "failed", detail: "order expired before it was sent" });
      return;
    }
    const unknown: OrderResult = { kind: "unknown", detail: "timed out" };
    this.#daemon.runLocal(ORDER_TIMEOUT_MS, () => reply(unknown));
    this.#world.trace.add(
      this.#daemon.id,
      `orders ${order.kind} ${
        "adapterKey" in order ? order.adapterKey : ""
      } on ${upstreamId} with fencing ${fencing}`,
    );
    this.#sendToUpstream(upstreamId, (upstream) => {
      if (!upstream.isUp) {
        this.#sendToDaemon(
          upstreamId,
          () => reply({ kind: "failed", detail: "ECONNREFUSED" }),
        );
        return;
      }
      upstream.applyOrder(
        order,
        fencing,
        (result) => this.#sendToDaemon(upstreamId, () => reply(result)),
      );
    });
  }

  #sendToUpstream(
    upstreamId: string,
    deliver: (upstream: ModelUpstream) => void,
    onLoss: () => void = () => {},
  ): void {
    const { queue, network } = this.#world;
    queue.schedule(network.drawUpstreamDelayMs(), () => {
      if (network.isConnectionCut(this.#daemon.id, upstreamId)) onLoss();
      else deliver(this.#world.getUpstreamOrThrow(upstreamId));
    });
  }

  #sendToDaemon(
    upstreamId: string,
    deliver: () => void,
    onLoss: () => void = () => {},
  ): void {
    const { queue, network } = this.#world;
    queue.schedule(network.drawUpstreamDelayMs(), () => {
      if (!this.#isCurrent()) return;
      const isCut = network.isConnectionCut(this.#daemon.id, upstreamId);
      this.#daemon.runLocal(0, isCut ? onLoss : deliver);
    });
  }

  #drawTaskDelayMs(): number {
    return this.#world.random.drawInteger(0, MAX_TASK_DELAY_MS);
  }
}

function createAnswer(call: Call): {
  outcome: Outcome;
  status: number;
  contentType: string;
  body: Uint8Array;
  bodyKept: boolean;
} {
  const isKept = call.workItem.parts === 1;
  return {
    outcome: Outcome.Completed,
    status: 200,
    contentType: "application/json",
    body: isKept
      ? new TextEncoder().encode(call.workItem.id)
      : new Uint8Array(),
    bodyKept: isKept,
  };
}
