import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_CORE_POLICY } from "../../../src/core/core_policy.ts";
import { DEFAULT_CORE_SETTINGS } from "../../../src/core/core_settings.ts";
import type { Effect } from "../../../src/core/effects.ts";
import { ExecutionContext } from "../../../src/core/execution/execution_context.ts";
import { LeaseClient } from "../../../src/core/execution/lease_client.ts";
import { LiveRequest } from "../../../src/core/execution/live_request.ts";
import { CrashQuarantine } from "../../../src/core/limits/crash_quarantine.ts";
import { RetryBudget } from "../../../src/core/limits/retry_budget.ts";
import { Membership } from "../../../src/core/membership/membership.ts";
import type { PeerMessage } from "../../../src/core/messages.ts";
import { TableReplica } from "../../../src/core/tables/table_replica.ts";
import { TicketIssuer } from "../../../src/core/execution/ticket_issuer.ts";
import { POOL, ROUTE } from "./request_fixture.ts";

const UPSTREAM = "engine-1";
const ADAPTER = "salmon@1";

function createClient(): {
  client: LeaseClient;
  context: ExecutionContext;
  dispatched: string[];
  takeSent(): PeerMessage[];
} {
  const effects: Effect[] = [];
  const membership = new Membership({
    selfId: "entry-1",
    failureDomain: "a",
  });
  membership.recordOwnView({
    upstreamId: UPSTREAM,
    residents: [ADAPTER],
    loading: [],
    creditsInUse: 0,
    waiting: 0,
    victimValue: 0,
    leaving: false,
    up: true,
  }, 0);
  const context = new ExecutionContext({
    selfId: "entry-1",
    incarnation: "1",
    failureDomain: "a",
    settings: DEFAULT_CORE_SETTINGS,
    policy: DEFAULT_CORE_POLICY,
    tables: new TableReplica(),
    membership,
    quarantine: new CrashQuarantine(DEFAULT_CORE_SETTINGS),
    publishStrikes: () => {},
    retryBudget: new RetryBudget(0.1),
    tickets: new TicketIssuer({
      selfId: "entry-1",
      incarnation: "1",
      secret: new Uint8Array(32),
      lifetimeMs: 1_000,
      maxTickets: 10,
      claimTimeoutMs: 1_000,
    }),
    emit: (effect) => effects.push(effect),
  });
  const dispatched: string[] = [];
  const client = new LeaseClient(context, {
    dispatch: (request) => dispatched.push(request.id),
    reassign: () => {},
  });
  return {
    client,
    context,
    dispatched,
    takeSent: () =>
      effects.splice(0).flatMap((effect) =>
        effect.kind === "send" ? [effect.message] : []
      ),
  };
}

function addRequest(
  context: ExecutionContext,
  client: LeaseClient,
  options: { requestId: string; maxRunMs: number } = {
    requestId: "r1",
    maxRunMs: ROUTE.maxRunMs,
  },
): void {
  const { requestId, maxRunMs } = options;
  const request = new LiveRequest({
    event: {
      kind: "requestArrived",
      requestId,
      customer: "mill-a",
      route: "briefing",
      fingerprint: "f1",
      sharedParts: [],
    },
    route: { ...ROUTE, maxRunMs },
    pool: POOL,
    adapterKey: ADAPTER,
    tablesRevision: 1,
    needsTicket: false,
  }, 0);
  context.requests.set(request.id, request);
  client.addWaiting(request, UPSTREAM, 0);
}

test("a duplicate grant is not returned while its run is in progress", () => {
  const { client, context, dispatched, takeSent } = createClient();
  addRequest(context, client);
  const [request] = takeSent();
  assert.is(request?.kind, "leaseRequest");
  if (request?.kind !== "leaseRequest") return;
  const grant = {
    kind: "leaseGrant",
    leaseRequestId: request.leaseRequestId,
    leaseId: "lease-1",
    upstreamId: UPSTREAM,
    adapterKey: ADAPTER,
    credits: 1,
    windowMs: 2_000,
    requestSentAtMs: 0,
    exclusive: false,
    upstreamIncarnation: "1",
    loaded: false,
  } as const;
  client.handleLeaseGrant("entry-1", grant, 600);
  assert.equal(dispatched, ["r1"]);
  client.handleLeaseGrant("entry-1", grant, 601);
  assert.equal(takeSent(), []);
});

test("a lease for a shorter run time limit is not used for longer runs", () => {
  const { client, context, dispatched, takeSent } = createClient();
  addRequest(context, client);
  const [request] = takeSent();
  if (request?.kind !== "leaseRequest") throw new Error("expected a request");
  addRequest(context, client, { requestId: "r2", maxRunMs: 60_000 });
  const [second] = takeSent();
  if (second?.kind !== "leaseRequest") throw new Error("expected a second");
  assert.is(second.maxRunMs, 60_000);
  client.handleLeaseGrant("entry-1", {
    kind: "leaseGrant",
    leaseRequestId: request.leaseRequestId,
    leaseId: "lease-1",
    upstreamId: UPSTREAM,
    adapterKey: ADAPTER,
    credits: 2,
    windowMs: 2_000,
    requestSentAtMs: 0,
    exclusive: false,
    upstreamIncarnation: "1",
    loaded: false,
  }, 10);
  assert.equal(dispatched, ["r1"]);
});

test("a grant that no request waits for is returned completely", () => {
  const { client, takeSent } = createClient();
  client.handleLeaseGrant("entry-1", {
    kind: "leaseGrant",
    leaseRequestId: "unknown",
    leaseId: "lease-2",
    upstreamId: UPSTREAM,
    adapterKey: ADAPTER,
    credits: 3,
    windowMs: 2_000,
    requestSentAtMs: 0,
    exclusive: false,
    upstreamIncarnation: "1",
    loaded: false,
  }, 0);
  assert.equal(takeSent(), [{
    kind: "leaseReturn",
    upstreamId: UPSTREAM,
    leaseId: "lease-2",
    returnedCredits: 3,
  }]);
});

test.run();
