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
import {
  type AttemptMetadata,
  NotRunReason,
  type ResponseHead,
} from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import type { AttemptEnd } from "./upstream_client.ts";

/** Longest answer that is not a stream, by what callers may send (`max_body_bytes` of the users' configurations, 4 MB). */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Memory of a piece beside its bytes, so that a flood of tiny chunks meets the bound too: a Buffer and its place in a list. */
const CHUNK_OVERHEAD_BYTES = 128;

export interface AttemptResult {
  outcome: AttemptOutcome;
  upstreamId: string;
  /** Why it was not run, where the upstream says so. */
  notRunReason: NotRunReason | undefined;
  status: number;
  /** Whether its connection broke, as when the upstream died. */
  isConnectionBroken: boolean;
  /** The whole answer; undefined when it was streamed or did not come. */
  response: { status: number; rawHeaders: string[]; body: Buffer } | undefined;
  detail: string;
}

/** What follows from a piece of a stream. */
export const SinkDecision = {
  Continue: "readOn",
  /** The caller is slow: nothing more is read until `resume`. */
  Pause: "pause",
  /** These bytes are no events. */
  Abort: "cut",
} as const;
export type SinkDecision = (typeof SinkDecision)[keyof typeof SinkDecision];

/** Takes the pieces of a successful stream. */
export interface StreamSink {
  start(status: number, rawHeaders: string[]): void;
  push(chunk: Buffer): SinkDecision;
}

export interface AttemptOptions {
  exchange: CallerExchange;
  upstream: PublishedUpstream;
  metadata: AttemptMetadata;
  mayReuseConnection: boolean;
  /** Time without a head after which the attempt is given up. */
  responseHeaderTimeoutMs: Milliseconds;
  /** Set for streams. */
  sink: StreamSink | undefined;
  /** Takes what a head that is this request's says of its upstream. */
  handleHead: (head: ResponseHead) => void;
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
  const { exchange, upstream, metadata: metadata, sink } = options;
  const { headerCodec: headerCodec } = context;
  let head: ResponseHead | undefined;
  let rawHeaders: string[] = [];
  let isStreaming = false;
  let isConnectionBroken = false;
  const chunks: Buffer[] = [];
  const { responseMemory: responseMemory } = context;
  const reservation = responseMemory.createReservation();
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => settle = resolve);
  let isSettled = false;
  const finish = (outcome: AttemptOutcome, detail: string): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    responseMemory.release(reservation);
    const hasWholeResponse = head !== undefined && !isStreaming &&
      (outcome === AttemptOutcome.Answered ||
        outcome === AttemptOutcome.Failed);
    settle({
      outcome,
      upstreamId: upstream.id,
      notRunReason: head?.notRunReason,
      status: head?.status ?? 0,
      isConnectionBroken: isConnectionBroken,
      response: hasWholeResponse
        ? {
          status: head?.status ?? 0,
          rawHeaders: headerCodec.encodeResponseHeaders(rawHeaders),
          body: Buffer.concat(chunks),
        }
        : undefined,
      detail,
    });
  };
  const abort = (outcome: AttemptOutcome, detail: string): void => {
    attempt.cancel();
    finish(outcome, detail);
  };
  const timer = setTimeout(
    () => {
      if (!head) abort(AttemptOutcome.Silent, "no head in time");
    },
    Math.max(1, options.responseHeaderTimeoutMs),
  );
  const attempt = context.upstreams.startAttempt({
    address: upstream.address,
    method: exchange.method,
    url: exchange.url,
    rawHeaders: headerCodec.encodeAttemptHeaders(exchange.rawHeaders, metadata),
    body: exchange.body,
    mayReuseConnection: options.mayReuseConnection,
  }, {
    onHead: (response: IncomingMessage) => {
      rawHeaders = response.rawHeaders;
      head = headerCodec.decodeResponseHead(
        response.statusCode ?? 0,
        response.headers,
        exchange.metadata.requestId,
      );
      const isSuccess = head.status >= 200 && head.status < 300;
      if (head.isForRequest) options.handleHead(head);
      if (!head.isForRequest) {
        abort(AttemptOutcome.Lost, "the answer names another request");
      } else if (
        isSuccess && (!head.hasResponseStamp || head.hasContentEncoding)
      ) {
        abort(AttemptOutcome.Lost, "the answer is not the upstream's own");
      } else if (isSuccess && sink) {
        isStreaming = true;
        sink.start(head.status, headerCodec.encodeResponseHeaders(rawHeaders));
      }
    },
    onChunk: (chunk) => {
      if (isSettled) return false;
      if (isStreaming && sink) {
        const decision = sink.push(chunk);
        if (decision === SinkDecision.Abort) {
          abort(AttemptOutcome.Lost, "an event without end");
        }
        return decision === SinkDecision.Continue;
      }
      const bytes = chunk.length + CHUNK_OVERHEAD_BYTES;
      const isBuffered = reservation.bytes + bytes <= MAX_RESPONSE_BYTES &&
        responseMemory.tryExtend(reservation, bytes);
      if (isBuffered) chunks.push(chunk);
      else abort(AttemptOutcome.Lost, "the answer is too long");
      return isBuffered;
    },
    onEnd: (end) => {
      if (isSettled) return;
      isConnectionBroken = end.kind === "broken";
      const [outcome, detail] = classifyEnd(end, head);
      finish(outcome, detail);
    },
  });
  return {
    result,
    cancel: () => abort(AttemptOutcome.Silent, "cancelled"),
    resume: () => attempt.resume(),
  };
}

function classifyEnd(
  end: AttemptEnd,
  head: ResponseHead | undefined,
): [AttemptOutcome, string] {
  switch (end.kind) {
    case "notSent":
      return [AttemptOutcome.NotSent, end.detail];
    case "broken":
      // A promise in the head holds, whatever became of the body.
      return head?.notRunReason !== undefined
        ? [AttemptOutcome.NotRun, end.detail]
        : [AttemptOutcome.Lost, end.detail];
    case "complete":
      if (!head) return [AttemptOutcome.Lost, "ended without a head"];
      if (head.notRunReason !== undefined) {
        return [AttemptOutcome.NotRun, head.notRunReason];
      }
      return head.status >= 500
        ? [AttemptOutcome.Failed, `status ${head.status}`]
        : [AttemptOutcome.Answered, `status ${head.status}`];
  }
}

/** Returns what an attempt's end says of the upstream; undefined when it says nothing. */
export function classifyHealth(
  result: AttemptResult,
): HealthSignal | undefined {
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
      return result.notRunReason === NotRunReason.Rejected
        ? HealthSignal.Rejected
        : undefined;
  }
}
