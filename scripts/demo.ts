/**
 * The demo: runs daemons and fakes as separate processes and prints one line
 * per step; exits with a non-zero code when a step has an unexpected result.
 */
import process from "node:process";
import { type CallerAnswer, sendCall, sendTicketedCall } from "./caller.ts";
import {
  createUpstreamHost,
  DEMO_DOMAINS,
  DEMO_TOKENS,
  formatPools,
  formatRoutes,
} from "./demo_tables.ts";
import { Fleet, waitUntil } from "./fleet.ts";

const DAEMONS = [
  { id: "entry-a1", failureDomain: "hobart-a" },
  { id: "entry-a2", failureDomain: "hobart-a" },
  { id: "entry-b1", failureDomain: "huon-b" },
  { id: "entry-b2", failureDomain: "huon-b" },
];

const fleet = new Fleet();
let failures = 0;
try {
  await runDemo();
} catch (error) {
  failures += 1;
  console.error(error);
} finally {
  await fleet.stop();
}
console.log(failures === 0 ? "Demo passed" : `Demo failed: ${failures} faults`);
process.exit(failures === 0 ? 0 : 1);

function report(step: string, isExpected: boolean, observed: string): void {
  if (!isExpected) failures += 1;
  console.log(`${isExpected ? "ok  " : "FAIL"} ${step}: ${observed}`);
}

async function runDemo(): Promise<void> {
  await startFleet();
  await callBriefing("entry-a1", "streamed request of derwent", "v1", true);
  await callBriefing("entry-b1", "whole request of derwent", "v1", false);
  await callLetters();
  await callOtherCustomersRoute();
  await callNonIdempotent();
  await editRoute();
  await killDaemonAndEngine();
}

async function startFleet(): Promise<void> {
  const store = await fleet.startFake("store", "store");
  await Promise.all([
    fleet.startFake("configuration", "configuration"),
    fleet.startFake("host_list", "hostList"),
  ]);
  const upstreams = await Promise.all(
    DEMO_DOMAINS.flatMap((failureDomain) => [
      startEngine(`engine-${failureDomain}-1`, failureDomain, store.address),
      startEngine(`engine-${failureDomain}-2`, failureDomain, store.address),
      startService(`service-${failureDomain}`, failureDomain),
    ]),
  );
  for (const { id, failureDomain } of DAEMONS) {
    fleet.reserveDaemon(id, failureDomain);
  }
  await fleet.writeHosts(upstreams);
  await fleet.writeTable("pools", formatPools());
  await fleet.writeTable("routes", formatRoutes("v1"));
  await Promise.all(DAEMONS.map(({ id }) => fleet.startDaemon(id)));
  await fleet.waitUntilServing(DAEMONS.map(({ id }) => id));
  report(
    "start",
    true,
    `${DAEMONS.length} daemons and ${upstreams.length} upstreams in ${DEMO_DOMAINS.length} failure domains serve`,
  );
}

async function startEngine(
  id: string,
  failureDomain: string,
  storeAddress: string,
): Promise<ReturnType<typeof createUpstreamHost>> {
  const { address } = await fleet.startFake("engine", id, [
    "--store",
    storeAddress,
  ]);
  return createUpstreamHost(id, address, {
    failureDomain,
    service: "brief-writer",
  });
}

async function startService(
  id: string,
  failureDomain: string,
): Promise<ReturnType<typeof createUpstreamHost>> {
  const { address } = await fleet.startFake("service", id);
  return createUpstreamHost(id, address, {
    failureDomain,
    service: "dispatch-core",
  });
}

async function callBriefing(
  daemon: string,
  step: string,
  version: string,
  isStreamed: boolean,
): Promise<CallerAnswer> {
  const answer = await sendCall({
    address: fleet.getDaemon(daemon).callers,
    token: DEMO_TOKENS.derwent,
    body: {
      model: "briefing",
      stream: isStreamed,
      messages: [{ role: "user", content: "Brief me for today's route" }],
    },
  });
  const isExpected = answer.status === 200 && answer.isWhole &&
    answer.headers.get("x-adapter-version") === version &&
    answer.text.includes(`derwent-briefing@${version}#19`);
  report(step, isExpected, `${daemon} answered ${describeAnswer(answer)}`);
  return answer;
}

async function callLetters(): Promise<void> {
  const answer = await sendCall({
    address: fleet.getDaemon("entry-b2").callers,
    token: DEMO_TOKENS.solljus,
    body: { model: "letters", stream: true, messages: [] },
  });
  const isExpected = answer.isWhole &&
    answer.text.includes("solljus-letters@v1#19");
  report("streamed request of solljus", isExpected, describeAnswer(answer));
}

async function callOtherCustomersRoute(): Promise<void> {
  const answer = await sendCall({
    address: fleet.getDaemon("entry-a1").callers,
    token: DEMO_TOKENS.solljus,
    body: { model: "briefing", messages: [] },
  });
  report(
    "route of another customer",
    answer.refusal?.reason === "unknownRoute",
    describeAnswer(answer),
  );
}

async function callNonIdempotent(): Promise<void> {
  const call = {
    token: DEMO_TOKENS.derwent,
    path: "/v1/services/feed-order",
    body: { pen: 7, tonnes: 3 },
  };
  const first = await sendCall({
    ...call,
    address: fleet.getDaemon("entry-a1").callers,
  });
  const ticket = first.refusal?.ticket ?? "";
  report(
    "non-idempotent request without a ticket",
    first.refusal?.reason === "ticketRequired",
    `${describeAnswer(first)}, ticket given`,
  );
  const [firstAnswer, secondAnswer] = await Promise.all(
    ["entry-a2", "entry-b1"].map((id) =>
      sendCall({ ...call, address: fleet.getDaemon(id).callers, ticket })
    ),
  );
  const completed = [firstAnswer, secondAnswer].filter((answer) =>
    answer?.status === 200
  );
  report(
    "the same ticket through two daemons at once",
    completed.length >= 1 && (await countOrders()) === 1,
    `ran ${await countOrders()} time, ${
      firstAnswer && describeAnswer(firstAnswer)
    } and ${secondAnswer && describeAnswer(secondAnswer)}`,
  );
  const again = await sendCall({
    ...call,
    address: fleet.getDaemon("entry-b2").callers,
    ticket,
  });
  report(
    "the same ticket later",
    again.status === 200 && (await countOrders()) === 1,
    `replayed: ${again.headers.get("idempotent-replayed")}`,
  );
}

async function countOrders(): Promise<number> {
  let orders = 0;
  for (const domain of DEMO_DOMAINS) {
    const { address } = fleet.getFake(`service-${domain}`);
    const history = await (await fetch(`http://${address}/history`)).json() as {
      ran: string[];
    };
    orders += history.ran.length;
  }
  return orders;
}

async function editRoute(): Promise<void> {
  const startedAt = performance.now();
  const revision = await fleet.writeTable("routes", formatRoutes("v2"));
  for (const { id } of DAEMONS) {
    await waitUntil(
      `revision ${revision} is in force at ${id}`,
      async () => (await fleet.getStatus(id))["tablesRevision"] === revision,
    );
  }
  const tookMs = Math.round(performance.now() - startedAt);
  report(
    "edit of a route",
    true,
    `revision ${revision} in force at all daemons within ${tookMs} ms`,
  );
  await callBriefing("entry-a2", "request after the edit", "v2", true);
}

async function killDaemonAndEngine(): Promise<void> {
  fleet.signal("entry-a1", "SIGKILL");
  fleet.signal("engine-hobart-a-1", "SIGKILL");
  await fleet.waitForExit("entry-a1");
  report("kill", true, "daemon entry-a1 and engine-hobart-a-1 are gone");
  for (const id of ["entry-a2", "entry-b1", "entry-b2"]) {
    await callBriefing(id, "request after the kill", "v2", true);
  }
  const order = await sendTicketedCall({
    address: fleet.getDaemon("entry-a2").callers,
    token: DEMO_TOKENS.derwent,
    path: "/v1/services/feed-order",
    body: { pen: 8, tonnes: 1 },
  });
  report(
    "non-idempotent request after the kill",
    order.status === 200 && (await countOrders()) === 2,
    describeAnswer(order),
  );
}

function describeAnswer(answer: CallerAnswer): string {
  if (answer.refusal) {
    return `${answer.status} ${answer.refusal.reason}, ${answer.refusal.outcome}`;
  }
  const adapter = answer.headers.get("x-adapter");
  const version = answer.headers.get("x-adapter-version");
  return adapter
    ? `${answer.status} by ${adapter}@${version}`
    : `${answer.status}`;
}
