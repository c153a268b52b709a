/**
 * A simulated daemon process. It runs the production core with a drifting clock
 * of its own, and it can be paused, killed and restarted.
 */
import { DaemonCore } from "../../src/core/daemon_core.ts";
import type { Effect } from "../../src/core/effects.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import type { Call } from "./calls.ts";
import {
  createHosts,
  getFailureDomain,
  SETTINGS,
  TICK_INTERVAL_MS,
} from "./fleet_layout.ts";
import { Invariant } from "./oracle.ts";
import { UpstreamClient } from "./upstream_client.ts";
import { countWallClockReads } from "./wall_clock.ts";
import type { World } from "./world.ts";

const MAX_CLOCK_OFFSET_MS = 10_000_000;
/** Maximum clock drift, in parts per million. */
const MAX_DRIFT_PPM = 500;
const POLL_INTERVAL_MS = 400;
const MAX_JITTER_MS = 5;

export class DaemonProcess {
  readonly id: string;
  readonly #world: World;
  #core!: DaemonCore;
  #client!: UpstreamClient;
  #incarnation = 0;
  #clockOffset = 0;
  #clockRate = 1;
  #deferredSteps: (() => void)[] = [];
  #pausedUntil = 0;
  isAlive = false;
  isPaused = false;
  isStopping = false;
  /** Pause that starts just before the next dispatch or order is sent. */
  pauseAtNext: { what: "dispatch" | "order"; ms: number } | undefined;

  constructor(id: string, world: World) {
    this.id = id;
    this.#world = world;
    this.start();
  }

  start(): void {
    if (this.isAlive) return;
    const { random } = this.#world;
    this.#incarnation += 1;
    this.#clockOffset = random.drawInteger(0, MAX_CLOCK_OFFSET_MS);
    this.#clockRate = 1 +
      random.drawInteger(-MAX_DRIFT_PPM, MAX_DRIFT_PPM) / 1_000_000;
    this.#deferredSteps = [];
    this.isAlive = true;
    this.isPaused = false;
    this.isStopping = false;
    this.#client = new UpstreamClient(this, this.#world);
    this.#core = new DaemonCore({
      selfId: this.id,
      incarnation: `i${this.#incarnation}`,
      failureDomain: getFailureDomain(this.id),
      settings: SETTINGS,
      seedHosts: createHosts(new Set()).filter((host) => host.role === "entry"),
      ticketSecret: random.drawBytes(16),
    }, this.readClock());
    this.#tick();
    this.#pollPlatform();
  }

  kill(): void {
    if (!this.isAlive) return;
    this.isAlive = false;
    this.#deferredSteps = [];
    this.#world.breakCalls(this.id);
  }

  /**
   * Stops handling events for the given time. Events that arrive meanwhile are
   * handled when the process resumes.
   */
  pause(spanMs: number): void {
    if (!this.isAlive) return;
    const { queue } = this.#world;
    this.isPaused = true;
    this.#pausedUntil = Math.max(this.#pausedUntil, queue.now + spanMs);
    queue.schedule(spanMs, () => this.resume(queue.now));
  }

  resume(now: number = Number.POSITIVE_INFINITY): void {
    if (!this.isPaused || now < this.#pausedUntil) return;
    this.isPaused = false;
    this.#pausedUntil = 0;
    this.#world.trace.add(
      this.id,
      `resumes with ${this.#deferredSteps.length} deferred steps`,
    );
    for (const step of this.#deferredSteps.splice(0)) step();
  }

  requestStop(): void {
    if (!this.isAlive || this.isStopping) return;
    this.isStopping = true;
    this.runLocal(
      0,
      () =>
        this.handle({
          kind: "stopRequested",
          endsAt: Number.POSITIVE_INFINITY,
        }),
    );
  }

  /**
   * Returns a function that returns true as long as the present incarnation
   * runs.
   */
  createIncarnationCheck(): () => boolean {
    const incarnation = this.#incarnation;
    return () => this.isAlive && this.#incarnation === incarnation;
  }

  readClock(): number {
    return this.#clockOffset + this.#world.queue.now * this.#clockRate;
  }

  getRevision(): number {
    return this.#core.getSnapshot()?.revision ?? 0;
  }

  /** Describes the state and the owned upstreams in one line for the trace. */
  describe(): string {
    if (!this.isAlive) return "dead";
    const { state, upstreams } = this.#core.describe(this.readClock());
    const owned = upstreams.map((upstream) =>
      `${upstream.upstreamId} ${upstream.state} ${
        upstream.up ? "up" : "down"
      } credits ${upstream.creditsInUse} [${
        upstream.slots.map((slot) => `${slot.adapterKey} ${slot.state}`)
      }]`
    );
    return [state, ...owned].join(", ");
  }

  /**
   * Runs a step after a delay. If the process is paused at that time, the step
   * runs when it resumes; if this incarnation has ended, the step is dropped.
   */
  runLocal(delayMs: number, step: () => void): void {
    const isCurrentIncarnation = this.createIncarnationCheck();
    const runIfCurrent = (): void => {
      if (isCurrentIncarnation()) step();
    };
    const runOrDefer = (): void => {
      if (!isCurrentIncarnation()) return;
      if (this.isPaused) this.#deferredSteps.push(runIfCurrent);
      else runIfCurrent();
    };
    if (delayMs === 0 && !this.isPaused) runIfCurrent();
    else this.#world.queue.schedule(delayMs, runOrDefer);
  }

  accept(call: Call): void {
    const snapshot = this.#core.getSnapshot();
    const route = snapshot?.getRoute(
      call.workItem.route,
      call.workItem.customer,
    );
    call.pinnedModel = route && route.adapter !== ""
      ? `${route.adapter}@${route.version}`
      : "";
    this.handle({
      kind: "requestArrived",
      requestId: call.id,
      customer: call.workItem.customer,
      route: call.workItem.route,
      fingerprint: call.workItem.id,
      sharedParts: [],
      ...(call.ticket === undefined ? {} : { ticket: call.ticket }),
    });
  }

  handle(event: CoreEvent): void {
    const { oracle } = this.#world;
    let effects: Effect[] = [];
    const reads = countWallClockReads(() => {
      try {
        effects = this.#core.handle(event, this.readClock());
      } catch (error) {
        oracle.fail(
          Invariant.Robustness,
          `${this.id} throws while it handles ${event.kind}: ${
            error instanceof Error ? error.stack : error
          }`,
        );
      }
    });
    if (reads > 0) {
      oracle.fail(Invariant.Robustness, `${event.kind} reads the wall clock`);
    }
    oracle.recordRevision(this.id, this.#incarnation, this.getRevision());
    for (const effect of effects) this.#applyEffect(effect);
  }

  #applyEffect(effect: Effect): void {
    const world = this.#world;
    switch (effect.kind) {
      case "send":
        world.sendMessage(this.id, effect.to, effect.message);
        break;
      case "dispatch":
        this.#pauseIfRequested("dispatch");
        this.#client.dispatch(effect);
        break;
      case "cancelAttempt":
        this.#client.cancel(effect.attemptId);
        break;
      case "order":
        this.#pauseIfRequested("order");
        this.#client.order(effect);
        break;
      case "readUpstreamState":
        this.#client.readState(effect);
        break;
      case "refuse":
        world.endCall(effect.requestId, {
          kind: "refused",
          reason: effect.reason,
          outcome: effect.outcome,
        }, effect.ticket);
        break;
      case "complete":
        world.endCall(effect.requestId, { kind: "completed" });
        break;
      case "replay":
        world.replayCall(effect.requestId, effect.answer);
        break;
      case "stopCompleted":
        this.#completeStop();
        break;
      case "count":
        world.count(`${effect.counter}:${effect.tag}`);
        break;
      case "measure":
        break;
    }
  }

  #pauseIfRequested(what: "dispatch" | "order"): void {
    if (this.pauseAtNext?.what !== what) return;
    const { ms } = this.pauseAtNext;
    this.pauseAtNext = undefined;
    this.#world.trace.add(this.id, `pauses before it sends its ${what}`);
    this.pause(ms);
  }

  #completeStop(): void {
    const { oracle, trace } = this.#world;
    trace.add(this.id, "has stopped");
    for (const call of oracle.getCalls()) {
      const isCut = call.daemonId === this.id && call.end === undefined &&
        call.pinnedModel !== undefined && !call.isCallerGone;
      if (isCut) {
        oracle.fail(
          Invariant.GracefulStop,
          `${this.id} stops before ${call.id} is answered`,
        );
      }
    }
    this.kill();
  }

  #tick(): void {
    this.handle({ kind: "tick" });
    const jitterMs = this.#world.random.drawInteger(0, MAX_JITTER_MS);
    this.runLocal(TICK_INTERVAL_MS + jitterMs, () => this.#tick());
  }

  #pollPlatform(): void {
    this.#world.platform.poll(this.id, (events) => {
      this.runLocal(0, () => {
        for (const event of events) this.handle(event);
      });
    });
    this.runLocal(POLL_INTERVAL_MS, () => this.#pollPlatform());
  }
}
