/**
 * Runs one attempt of a request at one upstream and classifies how it ended.
 * Pieces of a stream are passed on as they come; other answers are read whole
 * first, so that a broken one can still be replaced.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { AttemptOutcome } from "../core/execution/attempt_verdict.ts";
import { HealthSignal } from "../core/placement/upstream_health.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { type AttemptFacts, NotRunReason, type UpstreamHead } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import type { AttemptEnd } from "./upstream_client.ts";

/** Longest answer that is not a stream, by what callers may send (`max_body_bytes` of the users' configurations, 4 MB). */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Memory of a piece beside its bytes, so that a flood of tiny chunks meets the bound too: a Buffer and its place in a list. */
const PIECE_OVERHEAD_BYTES = 128;

export interface AttemptResult {
  outcome: AttemptOutcome;
  upstreamId: string;
  /** Why it was not run, where the upstream says so. */
  notRun: NotRunReason | undefined;
  status: number;
  /** Whether its connection broke, as when the upstream died. */
  hasBroken: boolean;
  /** The whole answer; undefined when it was streamed or did not come. */
  answer: { status: number; rawHeaders: string[]; body: Buffer } | undefined;
  detail: string;
}

/** What follows from a piece of a stream. */
export const PieceVerdict = {
  ReadOn: "readOn",
  /** The caller is slow: nothing more is read until `resume`. */
  Pause: "pause",
  /** These bytes are no events. */
  Cut: "cut",
} as const;
export type PieceVerdict = (typeof PieceVerdict)[keyof typeof PieceVerdict];

/** Takes the pieces of a successful stream. */
export interface StreamSink {
  start(status: number, rawHeaders: string[]): void;
  push(piece: Buffer): PieceVerdict;
}

export interface AttemptOptions {
  exchange: CallerExchange;
  upstream: PublishedUpstream;
  facts: AttemptFacts;
  mayReuseConnection: boolean;
  /** Time without a head after which the attempt is given up. */
  silenceMs: Milliseconds;
  /** Set for streams. */
  sink: StreamSink | undefined;
  /** Takes what a head that is this request's says of its upstream. */
  handleHead: (head: UpstreamHead) => void;
}

export interface RunningAttempt {
  result: Promise<AttemptResult>;
  /** Gives the attempt up and closes its connection. */
  cancel: () => void;
  /** Reads on after a piece at which the sink paused. */
  resume: () => void;
}

export function runAttempt(
  context: RequestContext,
  options: AttemptOptions,
): RunningAttempt {
  const { exchange, upstream, facts, sink } = options;
  const { dialect } = context;
  let head: UpstreamHead | undefined;
  let rawHeaders: string[] = [];
  let isStreaming = false;
  let hasBroken = false;
  const pieces: Buffer[] = [];
  const { answerMemory } = context;
  const reservation = answerMemory.createReservation();
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => settle = resolve);
  let isSettled = false;
  const finish = (outcome: AttemptOutcome, detail: string): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    answerMemory.release(reservation);
    const isWhole = head !== undefined && !isStreaming &&
      (outcome === AttemptOutcome.Answered ||
        outcome === AttemptOutcome.Failed);
    settle({
      outcome,
      upstreamId: upstream.id,
      notRun: head?.notRun,
      status: head?.status ?? 0,
      hasBroken,
      answer: isWhole
        ? {
          status: head?.status ?? 0,
          rawHeaders: dialect.encodeAnswerHeaders(rawHeaders),
          body: Buffer.concat(pieces),
        }
        : undefined,
      detail,
    });
  };
  const giveUp = (outcome: AttemptOutcome, detail: string): void => {
    started.abandon();
    finish(outcome, detail);
  };
  const timer = setTimeout(
    () => {
      if (!head) giveUp(AttemptOutcome.Silent, "no head in time");
    },
    Math.max(1, options.silenceMs),
  );
  const started = context.upstreams.startAttempt({
    address: upstream.address,
    method: exchange.method,
    url: exchange.url,
    rawHeaders: dialect.encodeAttemptHeaders(exchange.rawHeaders, facts),
    body: exchange.body,
    mayReuseConnection: options.mayReuseConnection,
  }, {
    onHead: (response: IncomingMessage) => {
      rawHeaders = response.rawHeaders;
      head = dialect.decodeUpstreamHead(
        response.statusCode ?? 0,
        response.headers,
        exchange.facts.requestId,
      );
      const isSuccess = head.status >= 200 && head.status < 300;
      if (head.isForRequest) options.handleHead(head);
      if (!head.isForRequest) {
        giveUp(AttemptOutcome.Lost, "the answer names another request");
      } else if (isSuccess && (!head.hasProof || head.isEncoded)) {
        giveUp(AttemptOutcome.Lost, "the answer is not the upstream's own");
      } else if (isSuccess && sink) {
        isStreaming = true;
        sink.start(head.status, dialect.encodeAnswerHeaders(rawHeaders));
      }
    },
    onPiece: (piece) => {
      if (isSettled) return false;
      if (isStreaming && sink) {
        const verdict = sink.push(piece);
        if (verdict === PieceVerdict.Cut) {
          giveUp(AttemptOutcome.Lost, "an event without end");
        }
        return verdict === PieceVerdict.ReadOn;
      }
      const bytes = piece.length + PIECE_OVERHEAD_BYTES;
      const isTaken = reservation.bytes + bytes <= MAX_ANSWER_BYTES &&
        answerMemory.tryExtend(reservation, bytes);
      if (isTaken) pieces.push(piece);
      else giveUp(AttemptOutcome.Lost, "the answer is too long");
      return isTaken;
    },
    onEnd: (end) => {
      if (isSettled) return;
      hasBroken = end.kind === "broken";
      const [outcome, detail] = classifyEnd(end, head);
      finish(outcome, detail);
    },
  });
  return {
    result,
    cancel: () => giveUp(AttemptOutcome.Silent, "cancelled"),
    resume: () => started.resume(),
  };
}

function classifyEnd(
  end: AttemptEnd,
  head: UpstreamHead | undefined,
): [AttemptOutcome, string] {
  switch (end.kind) {
    case "notSent":
      return [AttemptOutcome.NotSent, end.detail];
    case "broken":
      // A promise in the head holds, whatever became of the body.
      return head?.notRun !== undefined
        ? [AttemptOutcome.NotRun, end.detail]
        : [AttemptOutcome.Lost, end.detail];
    case "complete":
      if (!head) return [AttemptOutcome.Lost, "ended without a head"];
      if (head.notRun !== undefined) {
        return [AttemptOutcome.NotRun, head.notRun];
      }
      return head.status >= 500
        ? [AttemptOutcome.Failed, `status ${head.status}`]
        : [AttemptOutcome.Answered, `status ${head.status}`];
  }
}

/** Returns what an attempt's end says of the upstream; undefined when it says nothing. */
export function getHealthSign(result: AttemptResult): HealthSignal | undefined {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return HealthSignal.Answered;
    case AttemptOutcome.Failed:
    case AttemptOutcome.Lost:
    case AttemptOutcome.Silent:
      return HealthSignal.Failed;
    case AttemptOutcome.NotSent:
      return HealthSignal.Unreachable;
    case AttemptOutcome.NotRun:
      return result.notRun === NotRunReason.Rejected
        ? HealthSignal.Rejected
        : undefined;
  }
}
