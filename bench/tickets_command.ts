/** `bench tickets`: what repeated non-idempotent calls are answered while daemons restart and failure domains are cut off. */
import { Site } from "../scripts/site.ts";
import { waitUntil } from "../scripts/fleet.ts";
import type { Subcommand, SubcommandArguments } from "./subcommand.ts";

/** Room for all calls of a case at once. */
const BATCH_SIZE = 1_000;
/** Time after which a home in another domain that does not answer is given up. */
const QUEUE_DEADLINE_MS = 5_000;

/** Answers of one case, by reason; `ran` and `replayed` are answered calls. */
interface TicketCase {
  name: string;
  calls: number;
  answers: Record<string, number>;
  /** Tickets whose request ran more than once; must be 0. */
  ranTwice: number;
}

interface IssuedTicket {
  home: string;
  pen: number;
  ticket: string;
}

interface Bench {
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

async function runCases(bench: Bench): Promise<TicketCase[]> {
  const { site } = bench;
  const [a1 = "", a2 = "", b1 = "", b2 = ""] = site.daemonIds;
  await waitUntilPeersLive(site);
  const cases: TicketCase[] = [];
  const steady = await mintTickets(bench);
  cases.push(await measure(site, "first call, all up", steady));
  cases.push(await measure(site, "second call, all up", steady));

  const [cutSpent, cutUnused] = await mintBoth(bench);
  await cutDomains(site, [a1, a2], [b1, b2]);
  cases.push(await measure(site, "spent, other side of a partition", cutSpent));
  cases.push(
    await measure(site, "unused, other side of a partition", cutUnused),
  );
  cases.push(
    await measure(site, "new, in a partition", await mintTickets(bench), 0),
  );
  for (const id of site.daemonIds) await site.fleet.block(id, {});
  await waitUntilPeersLive(site);
  cases.push(await measure(site, "unused, partition healed", cutUnused));

  const [lostSpent, lostUnused] = await mintBoth(bench);
  site.fleet.signal(a1, "SIGKILL");
  await site.fleet.waitForExit(a1);
  await waitUntilLost(site, a1);
  const isOfLostHome = (ticket: IssuedTicket): boolean => ticket.home === a1;
  const others = [a2, b1, b2];
  cases.push(
    await measure(
      site,
      "spent, home lost",
      lostSpent.filter(isOfLostHome),
      1,
      others,
    ),
  );
  cases.push(
    await measure(
      site,
      "unused, home lost",
      lostUnused.filter(isOfLostHome),
      1,
      others,
    ),
  );
  await site.fleet.startDaemon(a1);
  await site.fleet.waitUntilServing([a1]);
  await waitUntilPeersLive(site);
  cases.push(
    await measure(
      site,
      "spent, home restarted",
      lostSpent.filter(isOfLostHome),
    ),
  );
  cases.push(
    await measure(
      site,
      "unused, home restarted",
      lostUnused.filter(isOfLostHome),
    ),
  );
  cases.push(
    await measure(
      site,
      "spent, another daemon restarted",
      lostSpent.filter((ticket) => !isOfLostHome(ticket)),
    ),
  );
  return cases;
}

async function mintTickets(bench: Bench): Promise<IssuedTicket[]> {
  const issued: IssuedTicket[] = [];
  for (const home of bench.site.daemonIds) {
    for (let index = 0; index < bench.tickets; index += 1) {
      const pen = bench.nextPen++;
      issued.push({ home, pen, ticket: await bench.site.getTicket(home, pen) });
    }
  }
  return issued;
}

/** Issues tickets of which the first half has run. */
async function mintBoth(
  bench: Bench,
): Promise<[spent: IssuedTicket[], unused: IssuedTicket[]]> {
  const spent = await mintTickets(bench);
  await measure(bench.site, "", spent, 0);
  return [spent, await mintTickets(bench)];
}

/** Calls once with each ticket, through the daemon that is `distance` after its home. */
async function measure(
  site: Site,
  name: string,
  tickets: readonly IssuedTicket[],
  distance = 2,
  through: readonly string[] = site.daemonIds,
): Promise<TicketCase> {
  const answers: Record<string, number> = {};
  await Promise.all(tickets.map(async ({ home, pen, ticket }) => {
    const index = Math.max(0, through.indexOf(home)) + distance;
    const daemon = through[index % through.length] ?? "";
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

async function cutDomains(
  site: Site,
  left: readonly string[],
  right: readonly string[],
): Promise<void> {
  for (const id of left) await site.fleet.block(id, { peers: [...right] });
  for (const id of right) await site.fleet.block(id, { peers: [...left] });
  for (const peer of [...left, ...right]) {
    const side = left.includes(peer) ? right : left;
    for (const id of side) await waitUntilSilent(site, id, peer);
  }
}

async function waitUntilLost(site: Site, peer: string): Promise<void> {
  for (const id of site.daemonIds) {
    if (id !== peer) await waitUntilSilent(site, id, peer);
  }
}

async function waitUntilSilent(
  site: Site,
  id: string,
  peer: string,
): Promise<void> {
  await waitUntil(`${id} misses ${peer}`, async () => {
    const { peers } = await site.fleet.getStatus(id);
    return peers.some((entry) => entry.id === peer && !entry.live);
  });
}

async function waitUntilPeersLive(site: Site): Promise<void> {
  for (const id of site.daemonIds) {
    await waitUntil(`${id} hears its peers`, async () => {
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
