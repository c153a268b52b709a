/**
 * Replays the load of a plain service whose upstreams share their machines: many
 * hosts, each of which hears an upstream about once a second, a few upstreams
 * whose pace varies within fractions of a second, and rejections when full. It
 * runs on simulated time and draws from a seed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { rankPacedUpstreams } from "../../../src/core/placement/paced_ranking.ts";
import { ServiceLoads } from "../../../src/core/placement/service_loads.ts";
import { UpstreamHealth } from "../../../src/core/placement/upstream_health.ts";
import { rankServiceUpstreams } from "../../../src/core/placement/upstream_ranking.ts";
import type { PublishedUpstream } from "../../../src/core/view/published_view.ts";

export interface ReplayOptions {
  seed: number;
  /** Whether the upstreams report their pace. */
  reportsPace: boolean;
  requestsPerS: number;
  hosts: number;
  durationMs: number;
  /** Waiting requests from which on an upstream rejects. */
  maxWaiting: number;
  /** Lasting pace of each upstream; there are as many upstreams. */
  basePaces: number[];
  /** Factors between which the pace of an upstream changes. */
  paceFactors: number[];
  /** Mean time between two changes. */
  paceChangeMs: number;
}

export interface ReplayResult {
  requests: number;
  /** Answered after the latency objective. */
  late: number;
  /** Not answered at all: rejected by all, or the repeats were used up. */
  lost: number;
  rejections: number;
  /** Attempts for each upstream. */
  attempts: number[];
  medianMs: number;
}

const OBJECTIVE_MS = 199;
const WORK_MS = 43;
const SLOTS = 6;
const HOP_MS = 1;
const MAX_ATTEMPTS = 3;
/** Repeats that the service may have as a share of its requests, and beside it. */
const REPEAT_SHARE = 0.2;
const REPEAT_SLACK = 58;
const DOMAINS = ["a", "b", "c"];

interface Attempt {
  id: string;
  host: SimulatedHost;
  arrivedAt: number;
  work: number;
  excluded: Set<string>;
}

interface SimulatedHost {
  failureDomain: string;
  loads: ServiceLoads;
  health: UpstreamHealth;
}

interface SimulatedUpstream {
  upstream: PublishedUpstream;
  basePace: number;
  /** Starts of the periods with equal pace, and their factors. */
  periods: { startAt: number; factor: number }[];
  running: number;
  waiting: Attempt[];
  attempts: number;
}

class EventQueue {
  readonly #events: { at: number; run: () => void }[] = [];

  add(at: number, run: () => void): void {
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, { at, run });
  }

  runAll(): void {
    for (let next = this.#events.pop(); next; next = this.#events.pop()) {
      next.run();
    }
  }
}

/** Runs the load and returns what became of its requests. */
export function replayLoad(options: ReplayOptions): ReplayResult {
  const generator = xoroshiro128plus(options.seed);
  const draw = () => uniformFloat64(generator);
  const drawExponential = (mean: number) => -mean * Math.log(1 - draw());
  const queue = new EventQueue();
  const upstreams = options.basePaces.map((basePace, index) => {
    const periods = [];
    for (let at = 0; at < 2 * options.durationMs;) {
      const choice = Math.floor(draw() * options.paceFactors.length);
      periods.push({ startAt: at, factor: options.paceFactors[choice] ?? 1 });
      at += drawExponential(options.paceChangeMs);
    }
    return createUpstream(index, basePace, periods);
  });
  const hosts = Array.from({ length: options.hosts }, (_, index) => ({
    failureDomain: DOMAINS[index % DOMAINS.length] ?? "a",
    loads: new ServiceLoads(),
    health: new UpstreamHealth(),
  }));
  const times: number[] = [];
  const result = { requests: 0, late: 0, lost: 0, rejections: 0 };
  let repeats = 0;

  const place = (attempt: Attempt, now: number) => {
    const { host } = attempt;
    const all = upstreams.map(({ upstream }) => upstream);
    const untried = all.filter(({ id }) => !attempt.excluded.has(id));
    const published = untried.length > 0 ? untried : all;
    const isPaced = all.some(({ id }) => host.loads.hasPace(id));
    const ranked = isPaced
      ? rankPacedUpstreams(
        published,
        { ...host, spreadKey: attempt.id },
        now,
      ).upstreams
      : rankServiceUpstreams(published, {
        ...host,
        getLoad: (id) => host.loads.get(id),
        tieBreakKey: attempt.id,
      }, now);
    const id = ranked[0]?.id ?? "";
    const target = upstreams.find(({ upstream }) => upstream.id === id);
    if (!target) return;
    host.loads.recordStart(id);
    queue.add(now + HOP_MS, () => accept(attempt, target, now + HOP_MS));
  };
  const report = (target: SimulatedUpstream, now: number) => ({
    requests: target.running + target.waiting.length,
    waiting: target.waiting.length,
    slots: SLOTS,
    pace: options.reportsPace ? computePace(target, now) : undefined,
  });
  const accept = (
    attempt: Attempt,
    target: SimulatedUpstream,
    now: number,
  ) => {
    target.attempts += 1;
    if (target.running < SLOTS) {
      begin(attempt, target, now);
    } else if (target.waiting.length < options.maxWaiting) {
      target.waiting.push(attempt);
    } else {
      const said = report(target, now);
      queue.add(
        now + HOP_MS,
        () => handleRejection(attempt, target, said, now + HOP_MS),
      );
    }
  };
  const begin = (attempt: Attempt, target: SimulatedUpstream, now: number) => {
    target.running += 1;
    const endAt = computeEnd(target, attempt.work, now);
    queue.add(endAt, () => {
      const said = report(target, endAt);
      target.running -= 1;
      const next = target.waiting.shift();
      if (next) begin(next, target, endAt);
      queue.add(
        endAt + HOP_MS,
        () => handleAnswer(attempt, target, said, endAt + HOP_MS),
      );
    });
  };
  const handleAnswer = (
    { host, arrivedAt }: Attempt,
    { upstream: { id } }: SimulatedUpstream,
    said: ReturnType<typeof report>,
    now: number,
  ) => {
    host.loads.recordReport(id, said, now);
    host.loads.recordEnd(id);
    host.health.recordSignal(id, "answered", now);
    times.push(now - arrivedAt);
    if (now - arrivedAt > OBJECTIVE_MS) result.late += 1;
  };
  const handleRejection = (
    attempt: Attempt,
    { upstream: { id } }: SimulatedUpstream,
    said: ReturnType<typeof report>,
    now: number,
  ) => {
    const { host, excluded } = attempt;
    host.loads.recordReport(id, said, now);
    host.loads.recordRejection(id, now);
    host.loads.recordEnd(id);
    host.health.recordSignal(id, "rejected", now);
    result.rejections += 1;
    excluded.add(id);
    const canRepeat = repeats < REPEAT_SLACK + REPEAT_SHARE * result.requests &&
      excluded.size < MAX_ATTEMPTS;
    if (!canRepeat) {
      result.lost += 1;
      return;
    }
    repeats += 1;
    place(attempt, now);
  };

  const meanGapMs = 1_000 / options.requestsPerS;
  const arrive = (now: number) => {
    const host = hosts[Math.floor(draw() * hosts.length)];
    if (!host || now > options.durationMs) return;
    result.requests += 1;
    place({
      id: `r${result.requests}`,
      host,
      arrivedAt: now,
      work: WORK_MS * (0.5 + draw()),
      excluded: new Set(),
    }, now);
    const nextAt = now + drawExponential(meanGapMs);
    queue.add(nextAt, () => arrive(nextAt));
  };
  arrive(0);
  queue.runAll();
  times.sort((a, b) => a - b);
  return {
    ...result,
    attempts: upstreams.map(({ attempts }) => attempts),
    medianMs: times[times.length >> 1] ?? 0,
  };
}

function createUpstream(
  index: number,
  basePace: number,
  periods: SimulatedUpstream["periods"],
): SimulatedUpstream {
  return {
    upstream: {
      id: `i-plain${index}`,
      service: "s",
      address: "127.0.0.1:1",
      failureDomain: DOMAINS[index % DOMAINS.length] ?? "a",
      maxConcurrentRequests: SLOTS,
      isLeaving: false,
      bornAtUnixMs: 1,
      models: [],
      adapters: new Map(),
    },
    basePace,
    periods,
    running: 0,
    waiting: [],
    attempts: 0,
  };
}

function findPeriod({ periods }: SimulatedUpstream, now: number): number {
  let low = 0;
  let high = periods.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if ((periods[middle]?.startAt ?? 0) <= now) low = middle;
    else high = middle - 1;
  }
  return low;
}

function computePace(target: SimulatedUpstream, now: number): number {
  return target.basePace *
    (target.periods[findPeriod(target, now)]?.factor ?? 1);
}

/** Returns when work that begins now is done, at the paces until then. */
function computeEnd(
  target: SimulatedUpstream,
  work: number,
  now: number,
): number {
  let left = work;
  let at = now;
  for (let index = findPeriod(target, now);; index += 1) {
    const endsAt = target.periods[index + 1]?.startAt ??
      Number.POSITIVE_INFINITY;
    const pace = target.basePace * (target.periods[index]?.factor ?? 1);
    if (at + left * pace <= endsAt) return at + left * pace;
    left -= (endsAt - at) / pace;
    at = endsAt;
  }
}
