/**
 * What the gateway needs of a platform. An adapter outside `src` implements
 * these, so that nothing in the product knows a platform's names.
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  OrderAnswer,
  OrderReport,
} from "../core/ordering/ownership_state.ts";
import type { PublishedChange } from "../core/view/published_view.ts";
import type { StoreBatch, StoreChange } from "../core/view/store_mirror.ts";
import type { Milliseconds } from "../core/structures.ts";

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a caller's request says of itself. */
export interface RequestMetadata {
  /** Empty when the caller sent none. */
  requestId: string;
  hostName: string;
  path: string;
  /** How long the caller will wait; undefined when it does not say. */
  deadlineMs: Milliseconds | undefined;
  /** Base model; empty for plain services. */
  model: string;
  /** Adapter of the model; empty for the base model itself. */
  adapter: string;
  promptTokens: number;
  /** Most tokens that it may generate. */
  outputTokens: number;
  promptParts: PromptPart[];
  /** Event after which a broken stream is to go on; undefined for a new one. */
  lastEventId: string | undefined;
  /** Headers that stay the same when the caller sends the request again. */
  stableHeaders: string;
}

/** What this attempt at an upstream adds to a caller's request. */
export interface AttemptMetadata {
  /** The upstream that alone may run it. */
  upstreamId: string;
  /** Time left, at which the upstream stops working on it. */
  remainingMs: Milliseconds;
  /** Version that the adapter must have; undefined when none is declared. */
  adapterVersion: number | undefined;
  /** 0 is the most urgent; undefined for plain services. */
  priorityRank: number | undefined;
  lastEventId: string | undefined;
}

/** Why an upstream did not run a request. */
export const NotRunReason = {
  /** It is full, or the request's load order is not done. */
  Rejected: "rejected",
  /** It is another upstream, or lacks the model, adapter or version. */
  Misdirected: "misdirected",
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** What the head of an upstream's answer says. */
export interface ResponseHead {
  status: number;
  /** Whether it names this request; an answer that names another belongs to nobody. */
  isForRequest: boolean;
  /** Whether it carries the proof of the upstream that ran the request. */
  hasResponseStamp: boolean;
  /** Whether the body is encoded, and so is not the upstream's own. */
  hasContentEncoding: boolean;
  /** Set when the upstream promises that it did not run the request. */
  notRunReason: NotRunReason | undefined;
  /** Requests that run or wait there, where it tells. */
  reportedRunning: number | undefined;
  /** Whether the upstream says that it is about to leave. */
  isLeaving: boolean;
  /** Time for which it wants no request of this host, where it turned one away and says so. */
  backoffMs: Milliseconds | undefined;
}

/** The caller-side and upstream-side headers of a platform. */
export interface HeaderCodec {
  decodeRequestMetadata(
    headers: IncomingHttpHeaders,
    url: string,
  ): RequestMetadata;
  /** Returns the raw headers of the request to the upstream, without those of the body. */
  encodeAttemptHeaders(
    rawHeaders: readonly string[],
    attempt: AttemptMetadata,
  ): string[];
  decodeResponseHead(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): ResponseHead;
  /** Returns the raw headers of the answer to the caller, without those of one connection. */
  encodeResponseHeaders(rawHeaders: readonly string[]): string[];
  /** Returns the headers with which a refusal is answered. */
  encodeRefusalHeaders(retryAfterMs: Milliseconds | undefined): string[];
  readonly readyPath: string;
}

/** The sets of published items that are followed separately. */
export const PublishedSet = {
  Configuration: "configuration",
  Upstreams: "upstreams",
} as const;
export type PublishedSet = (typeof PublishedSet)[keyof typeof PublishedSet];

/** What a watch returned. */
export type WatchResult =
  | { kind: "batch"; batch: StoreBatch }
  /** The changes since then are no longer available: read all. */
  | { kind: "historyGone" };

/** Reads the platform's store. Each call throws a StepError when it fails. */
export interface PublishedStore {
  readAll(set: PublishedSet): Promise<StoreBatch>;
  /** Waits for changes after the revision, up to the given time. */
  watch(
    set: PublishedSet,
    afterRevision: number,
    waitMs: Milliseconds,
  ): Promise<WatchResult>;
  /** Closes connections that may have gone silent. */
  closeConnections(): void;
}

export interface ChangeDecoder {
  decode(change: StoreChange): PublishedChange;
}

/** An engine's account of itself. */
export interface EngineReport extends OrderReport {
  /** Base models that it holds. */
  models: string[];
  /** Resident and coming adapters as `model/adapter`, with their versions. */
  adapters: Map<string, { version: number; isLoading: boolean }>;
  running: number;
  waiting: number;
  /** Whether the engine says that it is about to leave. */
  isLeaving: boolean;
}

export interface AdapterOrder {
  kind: "load" | "evict";
  model: string;
  /** Empty for the base model itself. */
  adapter: string;
  /** Version to load; undefined for the newest. */
  version: number | undefined;
}

/** Gives orders to engines and reads their reports. */
export interface EngineControl {
  /** Names the adapter of a model by its index from 0. */
  formatAdapterName(index: number): string;
  /** Throws a StepError when the engine can't be read. */
  readReport(
    engine: { id: string; address: string },
    now: Milliseconds,
  ): Promise<EngineReport>;
  giveOrder(
    engine: { id: string; address: string },
    order: AdapterOrder,
    ownership: { holder: string; fence: number; expectedSequence: number },
  ): Promise<OrderAnswer>;
}
