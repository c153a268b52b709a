import { test } from "uvu";
import * as assert from "uvu/assert";
import { TicketIssuer } from "../../../src/core/execution/ticket_issuer.ts";
import type {
  ClaimVerdict,
  StoredAnswerStructure,
  TicketClaimMessage,
} from "../../../src/core/messages.ts";

const LIFETIME_MS = 10_000;
const CLAIM_TIMEOUT_MS = 5_000;
const MAX_USE_MS = 3_000;
const ANSWER: StoredAnswerStructure = {
  outcome: "completed",
  status: 200,
  contentType: "application/json",
  body: new Uint8Array([123, 125]),
  bodyKept: true,
};

function createIssuer(incarnation = "i1"): TicketIssuer {
  return new TicketIssuer({
    selfId: "entry-1",
    incarnation,
    secret: new Uint8Array(32),
    lifetimeMs: LIFETIME_MS,
    maxTickets: 100,
    claimTimeoutMs: CLAIM_TIMEOUT_MS,
  });
}

function createClaim(
  ticket: string,
  changes: Partial<TicketClaimMessage> = {},
): TicketClaimMessage {
  return {
    kind: "ticketClaim",
    claimId: "claim-1",
    ticket,
    customer: "derwent",
    fingerprint: "order-1",
    ...changes,
  };
}

function claim(
  issuer: TicketIssuer,
  message: TicketClaimMessage,
  now: number,
): ClaimVerdict {
  return issuer.claimTicket(message, now).verdict;
}

test("grants a ticket once", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  assert.is(claim(issuer, createClaim(ticket), 1), "granted");
  const second = createClaim(ticket, { claimId: "claim-2" });
  assert.is(claim(issuer, second, 2), "inProgress");
});

test("answers a duplicate claim like the first", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  assert.is(claim(issuer, createClaim(ticket), 1), "granted");
  assert.is(claim(issuer, createClaim(ticket), 2), "granted");
});

test("replays the answer of a settled ticket", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  claim(issuer, createClaim(ticket), 1);
  const settle = { kind: "ticketSettle", customer: "derwent", ticket } as const;
  issuer.settleTicket({ ...settle, claimId: "claim-1", answer: ANSWER }, 2);
  const verdict = issuer.claimTicket(
    createClaim(ticket, { claimId: "claim-2" }),
    3,
  );
  assert.is(verdict.verdict, "spent");
  assert.equal(verdict.answer, ANSWER);
});

test("grants a released ticket again, but only to the same request", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  claim(issuer, createClaim(ticket), 1);
  issuer.settleTicket({
    kind: "ticketSettle",
    claimId: "claim-1",
    customer: "derwent",
    ticket,
  }, 2);
  const other = { claimId: "claim-2", fingerprint: "order-2" };
  assert.is(claim(issuer, createClaim(ticket, other), 3), "mismatch");
  const same = createClaim(ticket, { claimId: "claim-3" });
  assert.is(claim(issuer, same, 4), "granted");
});

test("counts newly issued and claimed tickets as in use", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  assert.ok(issuer.hasTicketsInUse(MAX_USE_MS, 1_999));
  assert.not(issuer.hasTicketsInUse(MAX_USE_MS, 2_000));
  claim(issuer, createClaim(ticket), 3_000);
  assert.ok(issuer.hasTicketsInUse(MAX_USE_MS, 4_000));
  issuer.settleTicket({
    kind: "ticketSettle",
    claimId: "claim-1",
    customer: "derwent",
    ticket,
    answer: ANSWER,
  }, 5_000);
  assert.not(issuer.hasTicketsInUse(MAX_USE_MS, 5_000));
});

test("never grants a ticket that an earlier incarnation issued", () => {
  const ticket = createIssuer("i1").issueTicket("derwent", 0);
  assert.is(claim(createIssuer("i2"), createClaim(ticket), 1), "expired");
});

test("never grants an expired ticket", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  assert.is(claim(issuer, createClaim(ticket), LIFETIME_MS), "expired");
});

test("refuses another customer's ticket and a forged one", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  const stolen = createClaim(ticket, { customer: "solljus" });
  assert.is(claim(issuer, stolen, 1), "invalid");
  const forged = createClaim(ticket.replace("~1~", "~2~"));
  assert.is(claim(issuer, forged, 1), "invalid");
});

test("reports a claim that was never settled as one that may have run", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  claim(issuer, createClaim(ticket), 1);
  const second = createClaim(ticket, { claimId: "claim-2" });
  const verdict = issuer.claimTicket(second, 1 + CLAIM_TIMEOUT_MS);
  assert.is(verdict.verdict, "spent");
  assert.is(verdict.answer?.outcome, "mayHaveRun");
});

test("a claim older than the maximum use time does not count as in use", () => {
  const issuer = createIssuer();
  const ticket = issuer.issueTicket("derwent", 0);
  issuer.claimTicket(createClaim(ticket), 100);
  assert.ok(issuer.hasTicketsInUse(MAX_USE_MS, 3_099));
  assert.not(issuer.hasTicketsInUse(MAX_USE_MS, 3_100));
});

test.run();
