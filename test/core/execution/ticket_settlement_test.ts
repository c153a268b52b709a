/**
 * A caller that has its answer, and calls again with the same ticket through the
 * ticket's issuer, does not overtake the settlement of its first call.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TicketIssuer } from "../../../src/core/execution/ticket_issuer.ts";
import type {
  PeerMessage,
  TicketVerdictMessage,
} from "../../../src/core/messages.ts";
import type { AttemptResult } from "../../../src/core/outcomes.ts";
import { SingleDaemon } from "../single_daemon.ts";

const ISSUER = "entry-2";
const CUSTOMER = "derwent";
/** Time in which the engine's owner loads the adapter and the run starts. */
const START_MS = 500;
/** Longest time that an answer waits for an issuer that is silent. */
const MAX_WAIT_MS = 500;
const COMPLETED: AttemptResult = {
  kind: "completed",
  servedModel: "briefing@v1",
};
const REJECTED: AttemptResult = { kind: "rejected", status: 400, detail: "" };

/** A request under a ticket of another daemon, whose messages a test delivers. */
class TicketedRequest {
  readonly daemon = new SingleDaemon(["engine-1"], [ISSUER]);
  readonly #issuer = new TicketIssuer({
    selfId: ISSUER,
    incarnation: "i1",
    secret: new Uint8Array(32),
    lifetimeMs: 600_000,
    maxTickets: 100,
    claimTimeoutMs: 600_000,
  });
  readonly #ticket = this.#issuer.issueTicket(CUSTOMER, 0);
  readonly requestId = this.daemon.request("order", { ticket: this.#ticket });
  #delivered = 0;

  /** Runs the request until its attempt has ended. */
  run(result: AttemptResult): void {
    this.deliver();
    this.daemon.advance(START_MS);
    const [dispatch] = this.daemon.getDispatches(this.requestId);
    assert.ok(dispatch);
    this.daemon.endAttempt(dispatch.attemptId, result);
  }

  /** Delivers the daemon's messages to the issuer, and what that answers. */
  deliver(): void {
    const messages = this.daemon.effects.flatMap((effect) =>
      effect.kind === "send" && effect.to === ISSUER ? [effect.message] : []
    );
    for (const message of messages.slice(this.#delivered)) {
      const verdict = this.#handle(message);
      if (!verdict) continue;
      this.daemon.handle({
        kind: "peerMessage",
        from: ISSUER,
        message: verdict,
      });
    }
    this.#delivered = messages.length;
  }

  /** Calls again through the issuer; returns its verdict. */
  callAgain(): string {
    return this.#issuer.claimTicket({
      kind: "ticketClaim",
      claimId: "another",
      ticket: this.#ticket,
      customer: CUSTOMER,
      fingerprint: "f1",
    }, this.daemon.now).verdict;
  }

  isAnswered(): boolean {
    return this.daemon.effects.some((effect) =>
      (effect.kind === "complete" || effect.kind === "refuse") &&
      effect.requestId === this.requestId
    );
  }

  #handle(message: PeerMessage): TicketVerdictMessage | undefined {
    const { now } = this.daemon;
    switch (message.kind) {
      case "ticketClaim":
        return this.#issuer.claimTicket(message, now);
      case "ticketSettle":
        this.#issuer.settleTicket(message, now);
        return {
          kind: "ticketVerdict",
          claimId: message.claimId,
          verdict: "spent",
        };
      default:
        return undefined;
    }
  }
}

for (
  const { result, verdict } of [
    { result: COMPLETED, verdict: "spent" },
    { result: REJECTED, verdict: "granted" },
  ]
) {
  test(`a call after the answer to a request that was ${result.kind} is not told that it is in progress`, () => {
    const request = new TicketedRequest();
    request.run(result);
    if (!request.isAnswered()) request.deliver();
    assert.ok(request.isAnswered());
    assert.is(request.callAgain(), verdict);
  });
}

test("an answer does not wait for a silent issuer beyond its limit", () => {
  const request = new TicketedRequest();
  request.run(COMPLETED);
  request.daemon.advance(MAX_WAIT_MS / 2);
  assert.not.ok(request.isAnswered());
  request.daemon.advance(MAX_WAIT_MS);
  assert.ok(request.isAnswered());
});

test("an answer that waits for the issuer is given at the end of a stop", () => {
  const request = new TicketedRequest();
  request.run(COMPLETED);
  const { daemon } = request;
  daemon.handle({ kind: "stopRequested", endsAt: daemon.now });
  assert.not.ok(request.isAnswered());
  daemon.handle({ kind: "stopTimedOut" });
  const kinds = daemon.effects.map(({ kind }) => kind);
  assert.ok(kinds.includes("complete"));
});

test.run();
