/**
 * One request's way over a peer, used while this host is cut off from the
 * upstreams of its service: selects the peer, and translates what the peer's
 * answer says. A relayed request takes one hop: the peer sends it to an upstream
 * itself, in one attempt, or refuses it.
 */
import type { IncomingMessage } from "node:http";
import type { FleetMember } from "../core/fleet/heartbeat.ts";
import { AttemptOutcome } from "../core/execution/retry_decision.ts";
import { selectRelay } from "../core/placement/relay_selector.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { AttemptResult, AttemptTarget } from "./attempt_runner.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import {
  type AttemptMetadata,
  NotRunReason,
  type ResponseHead,
} from "./ports.ts";
import {
  decodeRelayUpstream,
  decodeRelayVerdict,
  encodeRelayCustomer,
  RelayVerdict,
  stripRelayHeaders,
} from "./relay_headers.ts";
import type { RequestContext } from "./request_context.ts";

/** Retry-After of a request that no peer can serve either. */
const CUT_OFF_RETRY_AFTER_MS = 1_000;

export interface RequestRelayOptions {
  context: RequestContext;
  exchange: CallerExchange;
  serviceName: string;
  /** As `AttemptMetadata.caller`. */
  caller: AttemptMetadata["caller"];
  /** Peers that are not to be tried again for this request. */
  excludedPeerIds: ReadonlySet<string>;
}

export class RequestRelay {
  readonly #options: RequestRelayOptions;
  #verdict: RelayVerdict | undefined;
  #upstreamId: string | undefined;
  #retryAfterMs: Milliseconds = CUT_OFF_RETRY_AFTER_MS;

  constructor(options: RequestRelayOptions) {
    this.#options = options;
  }

  /** Whether this host is cut off from the upstreams of the service. */
  get isCutOff(): boolean {
    const { context, serviceName } = this.#options;
    return context.path.isCutOff(serviceName);
  }

  /** Whether the last peer said that no other one could serve the request. */
  get isRefused(): boolean {
    return this.#verdict === RelayVerdict.Refused;
  }

  /** Id of the upstream that sent the last answer; undefined if it is unknown. */
  get upstreamId(): string | undefined {
    return this.#upstreamId;
  }

  get retryAfterMs(): Milliseconds {
    return this.#retryAfterMs;
  }

  /** Returns the peer to try next; undefined for a request that was relayed here. */
  selectPeer(now: Milliseconds): FleetMember | undefined {
    const { context, exchange, serviceName, excludedPeerIds } = this.#options;
    if (exchange.isRelayed) return undefined;
    return selectRelay({
      requestId: exchange.metadata.requestId,
      service: serviceName,
      failureDomain: context.failureDomain,
      excludedPeerIds,
    }, context.fleet.listAlive(now));
  }

  createTarget(
    peer: FleetMember,
    attempt: { remainingMs: Milliseconds; lastEventId: string | undefined },
  ): AttemptTarget {
    const { context, exchange, caller } = this.#options;
    const customer = caller?.customer;
    this.#verdict = undefined;
    this.#upstreamId = undefined;
    return {
      id: peer.id,
      address: `${peer.ip}:${context.relayPort}`,
      rawHeaders: [
        ...context.headerCodec.encodeAttemptHeaders(
          stripRelayHeaders(exchange.rawHeaders),
          {
            ...attempt,
            upstreamId: undefined,
            adapterVersion: undefined,
            priorityRank: undefined,
            caller: caller && { customer: undefined },
          },
        ),
        ...(customer === undefined ? [] : encodeRelayCustomer(customer)),
      ],
      decodeHead: (response) => this.#decodeHead(response),
    };
  }

  /** Returns the result as that of an attempt of this host. */
  toOwnResult(result: AttemptResult): AttemptResult {
    switch (this.#verdict) {
      case undefined:
        return result;
      case RelayVerdict.Unable:
        return { ...result, outcome: AttemptOutcome.NotSent };
      case RelayVerdict.Refused:
        return { ...result, outcome: AttemptOutcome.NotRun };
      case RelayVerdict.MayHaveRun:
        return {
          ...result,
          outcome: AttemptOutcome.Lost,
          response: undefined,
        };
    }
  }

  #decodeHead(response: IncomingMessage): ResponseHead {
    const { headerCodec } = this.#options.context;
    const { headers } = response;
    this.#verdict = decodeRelayVerdict(headers);
    this.#upstreamId = decodeRelayUpstream(headers);
    const head = headerCodec.decodeResponseHead(
      response.statusCode ?? 0,
      headers,
      this.#options.exchange.metadata.requestId,
    );
    if (head.backoffMs !== undefined) this.#retryAfterMs = head.backoffMs;
    const wasRefused = this.#verdict === RelayVerdict.Refused ||
      this.#verdict === RelayVerdict.Unable;
    return {
      ...head,
      notRunReason: wasRefused ? NotRunReason.Rejected : head.notRunReason,
      // The upstream said this to the peer, which alone is bound by it.
      backoffMs: undefined,
    };
  }
}
