/**
 * Runs one attempt of a request at one upstream and classifies how it ended.
 * Chunks of a stream are forwarded as they arrive. Any other response is
 * buffered completely first, so that the request can still be retried when the
 * response is incomplete.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import {
  BodyFraming,
  classifyFraming,
} from "../core/execution/body_framing.ts";
import {
  ByteAccumulator,
  MAX_SMALL_CHUNKS,
} from "../core/execution/byte_accumulator.ts";
import type { StreamHead } from "../core/execution/stream_continuation.ts";
import { decideResponseEnd } from "../core/execution/response_end.ts";
import { AttemptOutcome } from "../core/execution/retry_decision.ts";
import { HealthSignal } from "../core/placement/upstream_health.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { isSuccess } from "./http_status.ts";
import { NotRunReason, type ResponseHead } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import type { AttemptEnd } from "./upstream_client.ts";

/**
 * Maximum size of a buffered response: the size that callers' requests may have
 * (`max_body_bytes` in the users' configurations, 4 MB).
 */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

export interface AttemptResult {
  outcome: AttemptOutcome;
  upstreamId: string;
  /** Why the upstream did not run the request; undefined unless it said so. */
  notRunReason: NotRunReason | undefined;
  status: number;
  /** See ResponseHead; false if no response head arrived. */
  impliesNotRun: boolean;
  hasResponseStamp: boolean;
  /** Whether no connection could be established. */
  isUnreachable: boolean;
  /** Whether the connection broke, for example because the upstream died. */
  isConnectionBroken: boolean;
  /** The complete response; undefined if it was streamed or never completed. */
  response: { status: number; rawHeaders: string[]; body: Buffer } | undefined;
  /** Undefined if no response head arrived. */
  endDetails: EndDetails | undefined;
  detail: string;
}

/** What is known of the end of a response, for the log. */
export interface EndDetails {
  framing: BodyFraming;
  /** Whether the upstream's connection ended without an error. */
  isClean: boolean;
  bodyBytes: number;
  /** Bytes of a stream after its last complete event. */
  incompleteEventBytes: number;
}

/** What the attempt does after its sink was given a chunk. */
export const SinkDecision = {
  Continue: "readOn",
  /** The caller reads slowly: stop reading from the upstream until `resume`. */
  Pause: "pause",
  /** The bytes can't be passed on: end the attempt. */
  Abort: "cut",
} as const;
export type SinkDecision = (typeof SinkDecision)[keyof typeof SinkDecision];

/** Receives the head and the chunks of a successful streamed response. */
export interface StreamSink {
  /** Returns whether the response may be passed on. */
  start(head: StreamHead, rawHeaders: string[]): boolean;
  push(chunk: Buffer): SinkDecision;
  /** Returns what the bytes of this attempt amount to so far. */
  getProgress(): StreamProgress;
}

export interface StreamProgress {
  /** Whether the bytes end within an event. */
  isInEvent: boolean;
  eventCount: number;
  /** Number of bytes since the end of the last complete event. */
  incompleteEventBytes: number;
}

/** Where an attempt is sent: to an upstream, or to a peer that relays it. */
export interface AttemptTarget {
  id: string;
  /** `IP:port`. */
  address: string;
  /** Headers of the request. */
  rawHeaders: string[];
  decodeHead: (response: IncomingMessage) => ResponseHead;
}

export interface AttemptOptions {
  exchange: CallerExchange;
  target: AttemptTarget;
  mayReuseConnection: boolean;
  /** See AttemptRequest. */
  longIdleLimit?: number | undefined;
  /**
   * Time limit for the response head to arrive; applies only if another attempt
   * can follow then.
   */
  responseHeaderTimeoutMs: Milliseconds;
  canDispatchAnother: () => boolean;
  /** Receives a streamed response; undefined if the response is buffered. */
  sink: StreamSink | undefined;
  /**
   * Resolves to whether the upstream's process has ended; asked where only the
   * close of the connection marks the end of the response.
   */
  hasUpstreamCrashed: () => Promise<boolean>;
  /** Called when a new connection was established. */
  handleConnect: () => void;
  /** Called with each response head that belongs to this request. */
  handleHead: (head: ResponseHead) => void;
}

export interface RunningAttempt {
  result: Promise<AttemptResult>;
  /** Ends the attempt and closes its connection. */
  cancel: () => void;
  /** Continues reading after the sink returned `Pause`. */
  resume: () => void;
  /** Returns whether a byte of the request may have been sent. */
  hasBeenSent: () => boolean;
}

export function runAttempt(
  context: RequestContext,
  options: AttemptOptions,
): RunningAttempt {
  const { exchange, target, sink } = options;
  const { headerCodec } = context;
  let head: ResponseHead | undefined;
  let rawHeaders: string[] = [];
  let isStreaming = false;
  let framing: BodyFraming | undefined;
  let bodyBytes = 0;
  let isConnectionBroken = false;
  let isUnreachable = false;
  let isClean = false;
  const body = new ByteAccumulator({
    maxBytes: MAX_RESPONSE_BYTES,
    memory: context.memory,
    maxSmallChunks: MAX_SMALL_CHUNKS,
  });
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => settle = resolve);
  let isSettled = false;
  const getProgress = (): StreamProgress | undefined =>
    isStreaming ? sink?.getProgress() : undefined;
  const finish = (outcome: AttemptOutcome, detail: string): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    const hasWholeResponse = head !== undefined && !isStreaming &&
      (outcome === AttemptOutcome.Answered ||
        outcome === AttemptOutcome.Failed);
    settle({
      outcome,
      upstreamId: target.id,
      notRunReason: head?.notRunReason,
      status: head?.status ?? 0,
      impliesNotRun: head?.impliesNotRun ?? false,
      hasResponseStamp: head?.hasResponseStamp ?? false,
      isUnreachable,
      isConnectionBroken,
      response: hasWholeResponse
        ? {
          status: head?.status ?? 0,
          rawHeaders: headerCodec.encodeResponseHeaders(rawHeaders),
          body: body.bytes,
        }
        : undefined,
      endDetails: framing && {
        framing,
        isClean,
        bodyBytes,
        incompleteEventBytes: getProgress()?.incompleteEventBytes ?? 0,
      },
      detail,
    });
    if (hasWholeResponse) exchange.onClose(() => body.release());
    else body.release();
  };
  const finishWith = (end: AttemptEnd): void => {
    isConnectionBroken = end.kind === "broken";
    isUnreachable = end.kind === "notSent" && end.isUnreachable;
    const [outcome, detail] = classifyEnd(end, head);
    finish(outcome, detail);
  };
  const abort = (outcome: AttemptOutcome, detail: string): void => {
    attempt.cancel();
    finish(outcome, detail);
  };
  const timer = setTimeout(
    () => {
      if (head || !options.canDispatchAnother()) return;
      abort(AttemptOutcome.TimedOut, "no head in time");
    },
    Math.max(1, options.responseHeaderTimeoutMs),
  );
  const attempt = context.upstreams.startAttempt({
    address: target.address,
    method: exchange.method,
    url: exchange.url,
    rawHeaders: target.rawHeaders,
    body: exchange.body,
    mayReuseConnection: options.mayReuseConnection,
    longIdleLimit: options.longIdleLimit,
  }, {
    onConnect: () => options.handleConnect(),
    onHead: (response: IncomingMessage) => {
      rawHeaders = response.rawHeaders;
      framing = classifyFraming({
        method: exchange.method,
        status: response.statusCode ?? 0,
        hasContentLength: response.headers["content-length"] !== undefined,
        transferEncoding: response.headers["transfer-encoding"],
      });
      head = target.decodeHead(response);
      const hasSucceeded = isSuccess(head.status);
      if (head.isForRequest) options.handleHead(head);
      if (!head.isForRequest) {
        abort(AttemptOutcome.Lost, "the answer names another request");
      } else if (
        hasSucceeded && (!head.hasResponseStamp || head.hasContentEncoding)
      ) {
        abort(AttemptOutcome.Lost, "the answer is not the upstream's own");
      } else if (hasSucceeded && sink) {
        const streamHead = {
          status: head.status,
          contentType: response.headers["content-type"] ?? "",
        };
        isStreaming = sink.start(
          streamHead,
          headerCodec.encodeResponseHeaders(rawHeaders),
        );
        if (!isStreaming) {
          abort(AttemptOutcome.Lost, "the answer does not continue the stream");
        }
      }
    },
    onChunk: (chunk) => {
      if (isSettled) return false;
      bodyBytes += chunk.length;
      if (isStreaming && sink) {
        const decision = sink.push(chunk);
        if (decision === SinkDecision.Abort) {
          abort(AttemptOutcome.Lost, "events that can't be passed on");
        }
        return decision === SinkDecision.Continue;
      }
      const isBuffered = body.tryAppend(chunk);
      if (!isBuffered) {
        abort(
          AttemptOutcome.Lost,
          "the answer is too long, or its chunks too small",
        );
      }
      return isBuffered;
    },
    onEnd: (closing) => {
      if (isSettled) return;
      isClean = closing.kind === "complete";
      // The body of a refusal does not matter.
      const isRefusal = head?.notRunReason !== undefined;
      if (!isClean || framing === undefined || isRefusal) {
        finishWith(closing);
        return;
      }
      const end = decideResponseEnd({ framing, stream: getProgress() });
      switch (end.kind) {
        case "complete":
          finishWith(closing);
          break;
        case "truncated":
          finishWith({ kind: "broken", detail: end.detail });
          break;
        case "unproven":
          void options.hasUpstreamCrashed().then((hasCrashed) =>
            finishWith(
              hasCrashed
                ? { kind: "broken", detail: "the upstream crashed" }
                : closing,
            )
          );
          break;
      }
    },
  });
  return {
    result,
    cancel: () => abort(AttemptOutcome.TimedOut, "cancelled"),
    resume: () => attempt.resume(),
    hasBeenSent: () => attempt.hasBeenSent(),
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
      // If the head said that the request was not run, this holds even though
      // the body is incomplete.
      return head?.notRunReason !== undefined
        ? [AttemptOutcome.NotRun, end.detail]
        : [AttemptOutcome.Lost, end.detail];
    case "complete":
      if (!head) return [AttemptOutcome.Lost, "ended without a head"];
      if (head.notRunReason !== undefined) {
        return [AttemptOutcome.NotRun, head.notRunReason];
      }
      return hasFailed(head)
        ? [AttemptOutcome.Failed, `status ${head.status}`]
        : [AttemptOutcome.Answered, `status ${head.status}`];
  }
}

/** Returns whether a complete response without a guarantee shows a failure. */
function hasFailed(
  { status, impliesNotRun, hasResponseStamp }: ResponseHead,
): boolean {
  return status >= 500 || (impliesNotRun && !hasResponseStamp);
}

/**
 * Returns what the end of an attempt implies for the upstream's health;
 * undefined if it implies nothing.
 */
export function classifyHealth(
  result: AttemptResult,
): HealthSignal | undefined {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return HealthSignal.Answered;
    case AttemptOutcome.Failed:
    case AttemptOutcome.Lost:
    case AttemptOutcome.TimedOut:
      return HealthSignal.Failed;
    case AttemptOutcome.NotSent:
      return HealthSignal.Unreachable;
    case AttemptOutcome.NotRun:
      return result.notRunReason === NotRunReason.Rejected
        ? HealthSignal.Rejected
        : undefined;
  }
}
