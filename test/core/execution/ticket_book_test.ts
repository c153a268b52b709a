import { test } from "uvu";
import * as assert from "uvu/assert";
import { TicketBook } from "../../../src/core/execution/ticket_book.ts";
import type {
  ClaimVerdict,
  StoredAnswerStructure,
  TicketClaimMessage,
} from "../../../src/core/messages.ts";

const LIFETIME_MS = 10_000;
const CLAIM_TIMEOUT_MS = 5_000;
const LONGEST_USE_MS = 3_000;
const ANSWER: StoredAnswerStructure = {
  outcome: "completed",
  status: 200,
  contentType: "application/json",
  body: new Uint8Array([123, 125]),
  bodyKept: true,
};

function createBook(incarnation = "i1"): TicketBook {
  return new TicketBook({
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
  book: TicketBook,
  message: TicketClaimMessage,
  now: number,
): ClaimVerdict {
  return book.claimTicket(message, now).verdict;
}

test("grants a ticket once", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  assert.is(claim(book, createClaim(ticket), 1), "granted");
  const second = createClaim(ticket, { claimId: "claim-2" });
  assert.is(claim(book, second, 2), "inProgress");
});

test("answers a repeated claim as the first", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  assert.is(claim(book, createClaim(ticket), 1), "granted");
  assert.is(claim(book, createClaim(ticket), 2), "granted");
});

test("replays the answer of a settled ticket", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  claim(book, createClaim(ticket), 1);
  const settle = { kind: "ticketSettle", customer: "derwent", ticket } as const;
  book.settleTicket({ ...settle, claimId: "claim-1", answer: ANSWER }, 2);
  const verdict = book.claimTicket(
    createClaim(ticket, { claimId: "claim-2" }),
    3,
  );
  assert.is(verdict.verdict, "spent");
  assert.equal(verdict.answer, ANSWER);
});

test("grants a released ticket again, but only to its own request", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  claim(book, createClaim(ticket), 1);
  book.settleTicket({
    kind: "ticketSettle",
    claimId: "claim-1",
    customer: "derwent",
    ticket,
  }, 2);
  const other = { claimId: "claim-2", fingerprint: "order-2" };
  assert.is(claim(book, createClaim(ticket, other), 3), "mismatch");
  const same = createClaim(ticket, { claimId: "claim-3" });
  assert.is(claim(book, same, 4), "granted");
});

test("counts fresh and claimed tickets as in use", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  assert.ok(book.hasTicketsInUse(LONGEST_USE_MS, 1_999));
  assert.not(book.hasTicketsInUse(LONGEST_USE_MS, 2_000));
  claim(book, createClaim(ticket), 3_000);
  assert.ok(book.hasTicketsInUse(LONGEST_USE_MS, 4_000));
  book.settleTicket({
    kind: "ticketSettle",
    claimId: "claim-1",
    customer: "derwent",
    ticket,
    answer: ANSWER,
  }, 5_000);
  assert.not(book.hasTicketsInUse(LONGEST_USE_MS, 5_000));
});

test("never grants what an earlier incarnation minted", () => {
  const ticket = createBook("i1").mintTicket("derwent", 0);
  assert.is(claim(createBook("i2"), createClaim(ticket), 1), "expired");
});

test("never grants an expired ticket", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  assert.is(claim(book, createClaim(ticket), LIFETIME_MS), "expired");
});

test("refuses another customer's ticket and a forged one", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  const stolen = createClaim(ticket, { customer: "solljus" });
  assert.is(claim(book, stolen, 1), "invalid");
  const forged = createClaim(ticket.replace("~1~", "~2~"));
  assert.is(claim(book, forged, 1), "invalid");
});

test("answers a claim that was never settled as one that may have run", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  claim(book, createClaim(ticket), 1);
  const second = createClaim(ticket, { claimId: "claim-2" });
  const verdict = book.claimTicket(second, 1 + CLAIM_TIMEOUT_MS);
  assert.is(verdict.verdict, "spent");
  assert.is(verdict.answer?.outcome, "mayHaveRun");
});

test("a claim older than the longest use holds up no stop", () => {
  const book = createBook();
  const ticket = book.mintTicket("derwent", 0);
  book.claimTicket(createClaim(ticket), 100);
  assert.ok(book.hasTicketsInUse(LONGEST_USE_MS, 3_099));
  assert.not(book.hasTicketsInUse(LONGEST_USE_MS, 3_100));
});

test.run();
