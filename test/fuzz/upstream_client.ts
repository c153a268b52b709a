/** Carries out a daemon's effects on upstreams as its upstream task does, over the model's network. */
import type { DispatchEffect, Effect } from "../../src/core/effects.ts";
import type { OrderResult } from "../../src/core/events.ts";
import { type AttemptResult, Outcome } from "../../src/core/outcomes.ts";
import type { Call } from "./calls.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { ModelUpstream } from "./model_upstream.ts";
import type { World } from "./world.ts";

/** Time after which a connection that was cut is found to be lost. */
const MAX_LOSS_MS = 900;
const STATE_TIMEOUT_MS = 800;
const ORDER_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time that a step takes to be carried out by its task. */
const MAX_TASK_DELAY_MS = 3;

interface OpenAttempt {
  effect: DispatchEffect;
  call: Call;
  isOpen: boolean;
  /** Whether part of the answer was lost, so that no more of it arrives. */
  isBroken: boolean;
  bytesForwarded: number;
  /** Arrival of the last part; parts of one connection keep their order. */
  lastArrivalAt: number;
}

export class UpstreamClient {
  readonly #daemon: DaemonProcess;
  readonly #world: World;
  /** Holds while the daemon's incarnation lives to which the client belongs. */
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
    this.#daemon.runLocal(this.#getTaskDelay(), () => this.#send(attempt));
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
      else this.#endLost(attempt, "cancelled, not confirmed");
    });
  }

  order(effect: Extract<Effect, { kind: "order" }>): void {
    this.#daemon.runLocal(this.#getTaskDelay(), () => {
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
    this.#travel(upstreamId, (upstream) => {
      if (!upstream.isUp) {
        this.#travelBack(upstreamId, () => fail(true));
        return;
      }
      const state = upstream.getState();
      this.#travelBack(upstreamId, () => {
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
      this.#end(attempt, { kind: "notSent", detail: "window closed" });
      return;
    }
    trace.add(
      this.#daemon.id,
      `dispatches ${call.id} as ${effect.attemptId} to ${effect.upstreamId}`,
    );
    if (network.isConnectionCut(this.#daemon.id, effect.upstreamId)) {
      this.#daemon.runLocal(
        this.#world.random.getInteger(0, CONNECT_TIMEOUT_MS),
        () => {
          this.#end(attempt, { kind: "notSent", detail: "connect timed out" });
        },
      );
      return;
    }
    this.#travel(
      effect.upstreamId,
      (upstream) => this.#begin(attempt, upstream),
      () => this.#loseLater(attempt),
    );
  }

  #begin(attempt: OpenAttempt, upstream: ModelUpstream): void {
    const { effect, call } = attempt;
    if (!upstream.isUp) {
      this.#travelBack(
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
      durationMs: call.work.durationMs,
      timeoutMs: effect.timeoutMs,
      parts: call.work.parts,
      isCrashing: call.work.isCrashing,
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

  #loseLater(attempt: OpenAttempt): void {
    this.#daemon.runLocal(
      this.#world.random.getInteger(0, MAX_LOSS_MS),
      () => this.#endLost(attempt, "connection lost"),
    );
  }

  /** Brings something back on the attempt's connection, in order, unless it is cut. */
  #answer(attempt: OpenAttempt, handle: () => void): void {
    const { queue, network } = this.#world;
    const travelMs = network.getUpstreamTravelMs();
    const arrivalAt = Math.max(queue.now + travelMs, attempt.lastArrivalAt);
    attempt.lastArrivalAt = arrivalAt;
    queue.schedule(arrivalAt - queue.now, () => {
      if (!this.#isCurrent() || !attempt.isOpen || attempt.isBroken) return;
      const { upstreamId } = attempt.effect;
      if (network.isConnectionCut(this.#daemon.id, upstreamId)) {
        attempt.isBroken = true;
        this.#loseLater(attempt);
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
    this.#travel(upstreamId, (upstream) => {
      const isEnded = upstream.isUp && upstream.cancelRun(attemptId);
      this.#travelBack(upstreamId, () => finish(isEnded), () => finish(false));
    }, () => this.#daemon.runLocal(MAX_LOSS_MS, () => finish(false)));
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
      reply({ kind: "failed", detail: "order came too late" });
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
    this.#travel(upstreamId, (upstream) => {
      if (!upstream.isUp) {
        this.#travelBack(
          upstreamId,
          () => reply({ kind: "failed", detail: "ECONNREFUSED" }),
        );
        return;
      }
      upstream.carryOut(
        order,
        fencing,
        (result) => this.#travelBack(upstreamId, () => reply(result)),
      );
    });
  }

  #travel(
    upstreamId: string,
    arrive: (upstream: ModelUpstream) => void,
    lose: () => void = () => {},
  ): void {
    const { queue, network } = this.#world;
    queue.schedule(network.getUpstreamTravelMs(), () => {
      if (network.isConnectionCut(this.#daemon.id, upstreamId)) lose();
      else arrive(this.#world.getUpstreamOrThrow(upstreamId));
    });
  }

  #travelBack(
    upstreamId: string,
    arrive: () => void,
    lose: () => void = () => {},
  ): void {
    const { queue, network } = this.#world;
    queue.schedule(network.getUpstreamTravelMs(), () => {
      if (!this.#isCurrent()) return;
      const isCut = network.isConnectionCut(this.#daemon.id, upstreamId);
      this.#daemon.runLocal(0, isCut ? lose : arrive);
    });
  }

  #getTaskDelay(): number {
    return this.#world.random.getInteger(0, MAX_TASK_DELAY_MS);
  }
}

function createAnswer(call: Call): {
  outcome: Outcome;
  status: number;
  contentType: string;
  body: Uint8Array;
  bodyKept: boolean;
} {
  const isKept = call.work.parts === 1;
  return {
    outcome: Outcome.Completed,
    status: 200,
    contentType: "application/json",
    body: isKept ? new TextEncoder().encode(call.work.id) : new Uint8Array(),
    bodyKept: isKept,
  };
}
