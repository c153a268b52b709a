/**
 * Interfaces between the gateway and a platform. An adapter outside `src`
 * implements them, so that no code in `src` depends on a platform's names.
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  OrderAnswer,
  OrderReport,
} from "../core/ordering/ownership_state.ts";
import type { PublishedChange } from "../core/view/published_view.ts";
import type { StoreBatch, StoreChange } from "../core/view/store_mirror.ts";
import type { Milliseconds } from "../core/structures.ts";

/** A part of a prompt, possibly shared with other requests. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What the headers and the path of a caller's request say. */
export interface RequestMetadata {
  /** Empty if the caller sent none. */
  requestId: string;
  hostName: string;
  path: string;
  /** How long the caller will wait; undefined if it does not say. */
  deadlineMs: Milliseconds | undefined;
  /** Base model; empty for plain services. */
  model: string;
  /** Adapter of the model; empty for the base model itself. */
  adapter: string;
  promptTokens: number;
  /** Maximum number of tokens to generate. */
  outputTokens: number;
  promptParts: PromptPart[];
  /**
   * Id of the event after which an interrupted stream is to resume; undefined
   * for a new one.
   */
  lastEventId: string | undefined;
  /** The headers that decide what an upstream runs for the request. */
  contentHeaders: string;
}

/** What an attempt at an upstream adds to the caller's request. */
export interface AttemptMetadata {
  /**
   * The upstream that the attempt is meant for; any other must not run it.
   * Undefined for a peer that relays the request.
   */
  upstreamId: string | undefined;
  /**
   * Time left until the deadline, at which the upstream is to stop its work.
   */
  remainingMs: Milliseconds;
  /** Version that the adapter must have; undefined if none is declared. */
  adapterVersion: number | undefined;
  /** 0 is the most urgent; undefined for plain services. */
  priorityRank: number | undefined;
  lastEventId: string | undefined;
  /**
   * Who calls, where requests have keys; a request without a key, on a public
   * route, has no customer. Undefined where requests need no keys at all.
   */
  caller: { customer: string | undefined } | undefined;
}

/** Why an upstream did not run a request. */
export const NotRunReason = {
  /** The upstream is full, or the load of the adapter has not completed. */
  Rejected: "rejected",
  /**
   * The request was meant for another upstream, or this one lacks the model,
   * the adapter or its version.
   */
  Misdirected: "misdirected",
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** What the head of an upstream's response says. */
export interface ResponseHead {
  status: number;
  /**
   * Whether the response names this request. One that names another request
   * must not be passed on to any caller.
   */
  isForRequest: boolean;
  /**
   * Whether the response has the stamp of the upstream that ran the request.
   */
  hasResponseStamp: boolean;
  /** Whether the body has a content encoding, which upstreams never use. */
  hasContentEncoding: boolean;
  /** Set if the upstream guarantees that it did not run the request. */
  notRunReason: NotRunReason | undefined;
  /**
   * Whether callers take the status to mean that the request has not run and
   * never will, with or without that guarantee.
   */
  impliesNotRun: boolean;
  /**
   * Number of requests that run or wait at the upstream; undefined if it does
   * not say.
   */
  reportedRunning: number | undefined;
  /** Number of them that wait. */
  reportedWaiting: number;
  /**
   * Number of requests that the upstream runs concurrently; undefined if it does
   * not say.
   */
  reportedSlots: number | undefined;
  /**
   * How long work currently takes at the upstream, as a multiple of the normal
   * time; undefined if it does not say.
   */
  reportedPace: number | undefined;
  /** Whether the upstream says that it is about to shut down. */
  isLeaving: boolean;
  /**
   * Time for which the upstream wants no request from this host, if it rejected
   * one and named a time.
   */
  backoffMs: Milliseconds | undefined;
}

/** Translates the headers that a platform's callers and upstreams use. */
export interface HeaderCodec {
  decodeRequestMetadata(
    headers: IncomingHttpHeaders,
    url: string,
  ): RequestMetadata;
  /**
   * Returns the caller's API key as it was sent, empty if there was none; several
   * are joined and so match none.
   */
  decodeApiKey(headers: IncomingHttpHeaders): string;
  /**
   * Returns the raw headers of the request to the upstream, without those that
   * describe the body.
   */
  encodeAttemptHeaders(
    rawHeaders: readonly string[],
    attempt: AttemptMetadata,
  ): string[];
  decodeResponseHead(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): ResponseHead;
  /**
   * Returns the raw headers of the response to the caller, without hop-by-hop
   * headers.
   */
  encodeResponseHeaders(rawHeaders: readonly string[]): string[];
  /** Returns the headers of a refusal. */
  encodeRefusalHeaders(retryAfterMs: Milliseconds | undefined): string[];
  readonly readyPath: string;
}

/** The sets of published items, each of which is watched separately. */
export const PublishedSet = {
  Configuration: "configuration",
  Upstreams: "upstreams",
} as const;
export type PublishedSet = (typeof PublishedSet)[keyof typeof PublishedSet];

/**
 * What was read from the store; the era is undefined if the store named none
 * that is valid.
 */
export type StoreReading = Omit<StoreBatch, "era"> & {
  era: number | undefined;
};

/** Result of a watch. */
export type WatchResult =
  | { kind: "batch"; batch: StoreReading }
  /**
   * The changes after the revision are no longer available: the set has to be
   * read again.
   */
  | { kind: "historyGone" };

/** Reads the platform's store. Each call throws a StepError if it fails. */
export interface PublishedStore {
  readAll(set: PublishedSet): Promise<StoreReading>;
  /**
   * Waits for changes after the revision, for up to the given time or until the
   * signal is aborted.
   */
  watch(
    set: PublishedSet,
    afterRevision: number,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<WatchResult>;
  /** Closes connections that may be half-open. */
  closeConnections(): void;
}

export interface ChangeDecoder {
  decode(change: StoreChange): PublishedChange;
}

/** State that an engine reports. */
export interface EngineReport extends OrderReport {
  /** Base models that are loaded. */
  models: string[];
  /** Resident and loading adapters as `model/adapter`, with their versions. */
  adapters: Map<string, { version: number; isLoading: boolean }>;
  running: number;
  waiting: number;
  /** Whether the engine says that it is about to shut down. */
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

/** Sends load and eviction orders to engines and reads their reports. */
export interface EngineControl {
  /**
   * Returns the name of a model's adapter from its index, which starts at 0.
   */
  formatAdapterName(index: number): string;
  /** Throws a StepError if the report can't be read. */
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
