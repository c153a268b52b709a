/**
 * Runs one attempt of a request at one upstream and classifies how it ended.
 * Pieces of a stream are passed on as they come; other answers are read whole
 * first, so that a broken one can still be replaced.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { AttemptOutcome } from "../core/execution/attempt_verdict.ts";
import { HealthSign } from "../core/placement/upstream_health.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { type AttemptFacts, NotRunReason, type UpstreamHead } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import type { AttemptEnd } from "./upstream_client.ts";

/** Longest answer that is not a stream. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

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

/** Takes the pieces of a successful stream. */
export interface StreamSink {
  start(status: number, rawHeaders: string[]): void;
  push(piece: Buffer): void;
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
}

export interface RunningAttempt {
  result: Promise<AttemptResult>;
  /** Gives the attempt up and closes its connection. */
  cancel: () => void;
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
  let length = 0;
  const pieces: Buffer[] = [];
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => settle = resolve);
  let isSettled = false;
  const finish = (outcome: AttemptOutcome, detail: string): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
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
    stop();
    finish(outcome, detail);
  };
  const timer = setTimeout(
    () => {
      if (!head) giveUp(AttemptOutcome.Silent, "no head in time");
    },
    Math.max(1, options.silenceMs),
  );
  const stop = context.upstreams.startAttempt({
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
      if (isSettled) return;
      if (isStreaming) {
        sink?.push(piece);
        return;
      }
      length += piece.length;
      pieces.push(piece);
      if (length > MAX_ANSWER_BYTES) {
        giveUp(AttemptOutcome.Lost, "the answer is too long");
      }
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
export function getHealthSign(result: AttemptResult): HealthSign | undefined {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return HealthSign.Answered;
    case AttemptOutcome.Failed:
    case AttemptOutcome.Lost:
    case AttemptOutcome.Silent:
      return HealthSign.Failed;
    case AttemptOutcome.NotSent:
      return HealthSign.Unreachable;
    case AttemptOutcome.NotRun:
      return result.notRun === NotRunReason.Rejected
        ? HealthSign.Rejected
        : undefined;
  }
}
