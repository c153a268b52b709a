/**
 * `bench tickets`: counts the answers to repeated non-idempotent calls while
 * daemons restart and failure domains are partitioned.
 */
import { Site } from "../scripts/site.ts";
import { waitUntil } from "../scripts/fleet.ts";
import type { Subcommand, SubcommandArguments } from "./subcommand.ts";

/** Batch capacity for all calls of a case at once. */
const BATCH_SIZE = 1_000;
/**
 * Time after which a call fails whose ticket issuer in another domain does not
 * answer.
 */
const QUEUE_DEADLINE_MS = 5_000;

/**
 * Answers of one case by reason; `ran` and `replayed` are calls that succeeded.
 */
interface TicketCase {
  name: string;
  calls: number;
  answers: Record<string, number>;
  /** Tickets whose request ran more than once; must be 0. */
  ranTwice: number;
}

interface IssuedTicket {
  issuer: string;
  pen: number;
  ticket: string;
}

interface TicketBench {
  site: Site;
  tickets: number;
  nextPen: number;
}

export const ticketsCommand: Subcommand = {
  name: "tickets",
  description: "What tickets are refused under restarts and partitions",
  options: [
    { flags: "--tickets", description: "Tickets of each daemon", value: 20 },
    { flags: "--json", description: "Print JSON", value: false },
  ],
  run: async (options: SubcommandArguments) => {
    const site = new Site({
      domains: [
        { name: "hobart-a", daemons: 2, engines: 0, services: 1 },
        { name: "huon-b", daemons: 2, engines: 0, services: 1 },
      ],
      batchSize: BATCH_SIZE,
      queueDeadlineMs: QUEUE_DEADLINE_MS,
    });
    try {
      await site.start();
      const bench = { site, tickets: Number(options["tickets"]), nextPen: 1 };
      const cases = await runCases(bench);
      if (options["json"]) console.log(JSON.stringify({ cases }, undefined, 2));
      else for (const entry of cases) console.log(formatCase(entry));
    } finally {
      await site.stop();
    }
  },
};

async function runCases(bench: TicketBench): Promise<TicketCase[]> {
  const { site } = bench;
  const [a1 = "", a2 = "", b1 = "", b2 = ""] = site.daemonIds;
  await waitUntilPeersLive(site);
  const cases: TicketCase[] = [];
  const steady = await issueTickets(bench);
  cases.push(await sendOrders(site, "first call, all up", steady));
  cases.push(await sendOrders(site, "second call, all up", steady));

  const [partitionSpent, partitionUnused] = await issueSpentAndUnused(bench);
  await partitionDomains(site, [a1, a2], [b1, b2]);
  cases.push(
    await sendOrders(site, "spent, other side of a partition", partitionSpent),
  );
  cases.push(
    await sendOrders(
      site,
      "unused, other side of a partition",
      partitionUnused,
    ),
  );
  cases.push(
    await sendOrders(site, "new, in a partition", await issueTickets(bench), 0),
  );
  for (const id of site.daemonIds) await site.fleet.block(id, {});
  await waitUntilPeersLive(site);
  cases.push(
    await sendOrders(site, "unused, partition healed", partitionUnused),
  );

  const [stoppedSpent, stoppedUnused] = await issueSpentAndUnused(bench);
  site.fleet.signal(a1, "SIGKILL");
  await site.fleet.waitForExit(a1);
  await waitUntilAllReportDown(site, a1);
  const isFromStoppedIssuer = (ticket: IssuedTicket): boolean =>
    ticket.issuer === a1;
  const others = [a2, b1, b2];
  cases.push(
    await sendOrders(
      site,
      "spent, home lost",
      stoppedSpent.filter(isFromStoppedIssuer),
      1,
      others,
    ),
  );
  cases.push(
    await sendOrders(
      site,
      "unused, home lost",
      stoppedUnused.filter(isFromStoppedIssuer),
      1,
      others,
    ),
  );
  await site.fleet.startDaemon(a1);
  await site.fleet.waitUntilServing([a1]);
  await waitUntilPeersLive(site);
  cases.push(
    await sendOrders(
      site,
      "spent, home restarted",
      stoppedSpent.filter(isFromStoppedIssuer),
    ),
  );
  cases.push(
    await sendOrders(
      site,
      "unused, home restarted",
      stoppedUnused.filter(isFromStoppedIssuer),
    ),
  );
  cases.push(
    await sendOrders(
      site,
      "spent, another daemon restarted",
      stoppedSpent.filter((ticket) => !isFromStoppedIssuer(ticket)),
    ),
  );
  return cases;
}

async function issueTickets(bench: TicketBench): Promise<IssuedTicket[]> {
  const issued: IssuedTicket[] = [];
  for (const issuer of bench.site.daemonIds) {
    for (let index = 0; index < bench.tickets; index += 1) {
      const pen = bench.nextPen++;
      issued.push({
        issuer,
        pen,
        ticket: await bench.site.getTicket(issuer, pen),
      });
    }
  }
  return issued;
}

/** Issues two sets of tickets and spends those of the first. */
async function issueSpentAndUnused(
  bench: TicketBench,
): Promise<[spent: IssuedTicket[], unused: IssuedTicket[]]> {
  const spent = await issueTickets(bench);
  await sendOrders(bench.site, "", spent, 0);
  return [spent, await issueTickets(bench)];
}

/**
 * Calls once with each ticket, through the daemon `daemonOffset` places after
 * its issuer.
 */
async function sendOrders(
  site: Site,
  name: string,
  tickets: readonly IssuedTicket[],
  daemonOffset = 2,
  daemonIds: readonly string[] = site.daemonIds,
): Promise<TicketCase> {
  const answers: Record<string, number> = {};
  await Promise.all(tickets.map(async ({ issuer, pen, ticket }) => {
    const index = Math.max(0, daemonIds.indexOf(issuer)) + daemonOffset;
    const daemon = daemonIds[index % daemonIds.length] ?? "";
    const answer = await site.sendFeedOrder(daemon, pen, ticket);
    const isReplayed = answer.headers.get("idempotent-replayed") === "true";
    const kind = answer.refusal
      ? `${answer.refusal.reason}/${answer.refusal.outcome}`
      : isReplayed
      ? "replayed"
      : "ran";
    answers[kind] = (answers[kind] ?? 0) + 1;
  }));
  const ranTwice = tickets.filter(({ pen }) => site.countFeedOrders(pen) > 1);
  return { name, calls: tickets.length, answers, ranTwice: ranTwice.length };
}

async function partitionDomains(
  site: Site,
  left: readonly string[],
  right: readonly string[],
): Promise<void> {
  for (const id of left) await site.fleet.block(id, { peers: [...right] });
  for (const id of right) await site.fleet.block(id, { peers: [...left] });
  for (const peer of [...left, ...right]) {
    const otherSide = left.includes(peer) ? right : left;
    for (const id of otherSide) await waitUntilReportsDown(site, id, peer);
  }
}

async function waitUntilAllReportDown(site: Site, peer: string): Promise<void> {
  for (const id of site.daemonIds) {
    if (id !== peer) await waitUntilReportsDown(site, id, peer);
  }
}

async function waitUntilReportsDown(
  site: Site,
  id: string,
  peer: string,
): Promise<void> {
  await waitUntil(`${id} reports ${peer} as down`, async () => {
    const { peers } = await site.fleet.getStatus(id);
    return peers.some((entry) => entry.id === peer && !entry.live);
  });
}

async function waitUntilPeersLive(site: Site): Promise<void> {
  for (const id of site.daemonIds) {
    await waitUntil(`${id} reports its peers as live`, async () => {
      const { failureDomain, peers } = await site.fleet.getStatus(id);
      return peers.every((peer) =>
        peer.live || peer.failureDomain !== failureDomain
      );
    });
  }
}

function formatCase(entry: TicketCase): string {
  const answers = Object.entries(entry.answers)
    .map(([kind, count]) => `${kind} ${count}`).join(", ");
  return `${
    entry.name.padEnd(36)
  } ${entry.calls} calls: ${answers}; ran twice: ${entry.ranTwice}`;
}
