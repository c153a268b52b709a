/**
 * Customers of a soak run: their keys are replaced and their quotas lowered
 * while callers use them, and the store is restored from older copies. Callers
 * also send keys that were removed or never existed. Checks which of these
 * requests reach upstreams, and as whose.
 */
import { Agent } from "node:http";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Header } from "../../platform/wire_names.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import type { StorePosition } from "../../src/core/view/store_position.ts";
import { PositionPoller } from "./position_poller.ts";
import { checkQuota } from "./quota_check.ts";
import type { FleetCopy, SoakFleet, SoakGateway } from "./soak_fleet.ts";
import { type Answer, callGateway, type SoakReport } from "./soak_run.ts";
import { StoreContact } from "./store_contact.ts";

/** Customer whose key every configuration has, and which has no quota. */
export const STEADY_CUSTOMER = { name: "steady", key: "key-steady" };
const ROTATING_CUSTOMER = "rotating";
const LIMITED_CUSTOMER = { name: "limited", key: "key-limited" };
/** Cost of each request of the limited customer, in tokens. */
const LIMITED_COST = 5_000;
/** Tokens per second that the limited customer can't reach. */
const UNREACHED_LIMIT = 1e9;
const CALLERS = 2;
const LIMITED_CALLERS = 2;
/** Copies of the store that a restore chooses from, the latest ones. */
const MAX_COPIES = 3;
/** Configurations that are written and lost again by a restore. */
const MAX_LOST_WRITES = 8;
const OBSERVE_INTERVAL_MS = 50;

type Draw = (from: number, to: number) => number;

interface CustomerCall {
  key: string;
  /** Customer that held the key; undefined for a key that never existed. */
  customer: string | undefined;
}

interface Limit {
  /** Tokens per second, and the burst in tokens. */
  limit: number;
  position: StorePosition;
  writtenAt: number;
  /** When all gateways were first seen to have it. */
  from: number | undefined;
  /** When the next limit was written. */
  until: number;
}

export class SoakCustomers {
  readonly #fleet: SoakFleet;
  readonly #seed: number;
  readonly #report: SoakReport;
  readonly #contact: StoreContact;
  readonly #poller: PositionPoller;
  #limits: Limit[] = [];
  readonly #copies: FleetCopy[] = [];
  /** When the first configuration after the last restore was written. */
  #restoredAt = Number.POSITIVE_INFINITY;
  #keyCount = 0;
  #keys = [this.#createKey(), this.#createKey()];
  /**
   * When the removal of each removed key was acknowledged; infinite while a
   * restore has lost it.
   */
  readonly #removedAt = new Map<string, number>();
  /** Customers by the ids of their requests, steady callers' excepted. */
  readonly #customers = new Map<string, string | undefined>();
  readonly #revokedIds = new Set<string>();

  constructor(fleet: SoakFleet, seed: number, report: SoakReport) {
    this.#fleet = fleet;
    this.#seed = seed;
    this.#report = report;
    this.#contact = new StoreContact(fleet);
    this.#poller = new PositionPoller(fleet, report.violations);
    this.#fleet.tenants = this.#buildTenants();
  }

  async run(endsAt: number): Promise<void> {
    const timer = setInterval(
      () => this.#observe(Date.now()),
      OBSERVE_INTERVAL_MS,
    );
    await Promise.all([
      this.#changeCustomers(endsAt),
      this.#poller.run(endsAt),
      ...Array.from(
        { length: LIMITED_CALLERS },
        (_, index) => this.#runLimitedCaller(index, endsAt),
      ),
      ...Array.from(
        { length: CALLERS },
        (_, index) => this.#runCaller(index, endsAt),
      ),
    ]);
    clearInterval(timer);
  }

  #observe(now: number): void {
    this.#contact.observe(now);
    const limit = this.#limits.at(-1);
    if (limit && this.#poller.haveAllReached(limit.position)) {
      limit.from ??= now;
    }
  }

  /** Checks what the upstreams received, after the run. */
  checkRuns(): void {
    const { engines, services } = this.#fleet;
    const { violations } = this.#report;
    for (const replica of [...engines, ...services]) {
      for (const { id, headers } of replica.receivedRequests) {
        const customer = this.#customers.has(id)
          ? this.#customers.get(id)
          : STEADY_CUSTOMER.name;
        if (customer === undefined) violations.push(`${id}: ran without a key`);
        else if (headers[Header.Tenant] !== customer) {
          violations.push(`${id}: ran as ${headers[Header.Tenant]}`);
        }
        if (JSON.stringify(headers).includes("key-")) {
          violations.push(`${id}: its key reached ${replica.id}`);
        }
        if (this.#revokedIds.has(id)) {
          violations.push(`${id}: ran with a revoked key`);
        }
      }
    }
    this.#report.revoked = this.#revokedIds.size;
    this.#checkQuotas();
  }

  #checkQuotas(): void {
    const runs = this.#fleet.services
      .flatMap(({ receivedRequests }) => receivedRequests)
      .filter(({ headers }) => headers[Header.Tenant] === LIMITED_CUSTOMER.name)
      .map(({ at }) => ({ at, cost: LIMITED_COST }));
    for (const { limit, from, until } of this.#limits) {
      if (from === undefined || limit === UNREACHED_LIMIT) continue;
      this.#report.quotas += 1;
      this.#report.violations.push(...checkQuota({ limit, from, until }, runs));
    }
  }

  async #changeCustomers(endsAt: number): Promise<void> {
    const draw = createDraw(this.#seed * 1_000 + 501);
    const startedAt = Date.now();
    while (Date.now() < endsAt) {
      this.#copies.push(this.#fleet.createCopy());
      if (this.#copies.length > MAX_COPIES) this.#copies.shift();
      const removed = this.#replaceKey(draw);
      // Limits stand for long enough that a window fits between two changes.
      const limit = draw(0, 4) === 0
        ? drawLimit(draw)
        : this.#limits.at(-1)?.limit ?? drawLimit(draw);
      this.#publish(limit);
      this.#removedAt.set(removed, Date.now());
      this.#report.trace.push(
        `${
          Date.now() - startedAt
        } ms: ${removed} is removed, limit ${limit} tokens/s`,
      );
      await waitMs(draw(500, 3_000));
      if (draw(0, 5) === 0) {
        this.#report.trace.push(`${Date.now() - startedAt} ms: restore`);
        await this.#restore(draw);
      }
    }
  }

  /** Replaces one of the keys; returns the key that is removed. */
  #replaceKey(draw: Draw): string {
    const index = draw(0, this.#keys.length - 1);
    const removed = this.#keys[index] ?? "";
    this.#keys[index] = this.#createKey();
    return removed;
  }

  /**
   * Restores the store from a copy, and writes the present customers again some
   * time later. What was written after the copy counts from then on.
   */
  async #restore(draw: Draw): Promise<void> {
    // Copies of the history that is lost are of no later use.
    this.#copies.length = draw(1, this.#copies.length);
    const copy = this.#copies.at(-1);
    const last = this.#limits.at(-1);
    if (!copy || !last) return;
    const isLost = (writtenAt: number) => writtenAt >= copy.takenAt;
    const lostKeys = [...this.#removedAt]
      .filter(([, removedAt]) => isLost(removedAt))
      .map(([key]) => key);
    const setRemovedAt = (at: number) => {
      for (const key of lostKeys) this.#removedAt.set(key, at);
    };
    for (let lost = draw(0, MAX_LOST_WRITES); lost > 0; lost -= 1) {
      this.#publish(last.limit);
    }
    await waitMs(draw(0, 1_000));
    this.#restoredAt = Number.POSITIVE_INFINITY;
    setRemovedAt(Number.POSITIVE_INFINITY);
    if (isLost(last.writtenAt)) last.until = Date.now();
    this.#fleet.restore(copy, draw(0, 1) === 0);
    await waitMs(draw(0, 500));
    this.#publish(last.limit);
    setRemovedAt(Date.now());
    this.#restoredAt = Date.now();
    // No later write replaces this one before its effect is due.
    await waitMs(draw(3_000, 5_000));
  }

  /** Publishes the customers with this limit. */
  #publish(limit: number): void {
    const last = this.#limits.at(-1);
    const now = Date.now();
    this.#fleet.tenants = this.#buildTenants(limit);
    this.#fleet.publish();
    if (last?.limit === limit && last.until > now) return;
    if (last) last.until = Math.min(last.until, now);
    this.#limits.push({
      limit,
      position: this.#fleet.store.position,
      writtenAt: now,
      from: undefined,
      until: Number.POSITIVE_INFINITY,
    });
  }

  /** Sends many times the customer's lowered limits. */
  async #runLimitedCaller(index: number, endsAt: number): Promise<void> {
    const draw = createDraw(this.#seed * 1_000 + 701 + index);
    const agent = new Agent({ keepAlive: true });
    for (let call = 0; Date.now() < endsAt; call += 1) {
      const { gateways, port } = this.#fleet;
      const gateway = gateways[draw(0, gateways.length - 1)];
      if (!gateway) continue;
      const id = `${this.#seed}.limited-${index}.${call}`;
      this.#customers.set(id, LIMITED_CUSTOMER.name);
      await callGateway(agent, `${gateway.ip}:${port}`, "/safe/", {
        id,
        adapter: "a1",
        key: LIMITED_CUSTOMER.key,
        tokens: `${LIMITED_COST - 100},100`,
      });
      await waitMs(draw(2, 20));
    }
    agent.destroy();
  }

  async #runCaller(index: number, endsAt: number): Promise<void> {
    const draw = createDraw(this.#seed * 1_000 + 601 + index);
    const agent = new Agent({ keepAlive: true });
    for (let call = 0; Date.now() < endsAt; call += 1) {
      const { gateways, port } = this.#fleet;
      const gateway = gateways[draw(0, gateways.length - 1)];
      if (!gateway) continue;
      const id = `${this.#seed}.customer-${index}.${call}`;
      if (draw(0, 5) === 0) {
        await this.#callRestored(agent, gateway, id);
        continue;
      }
      const { key, customer } = this.#drawCall(draw, id);
      const path = ["/safe/", "/unsafe/", "/brief/"][draw(0, 2)] ?? "/safe/";
      this.#customers.set(id, customer);
      const removedAt = this.#removedAt.get(key);
      if (
        removedAt !== undefined && this.#contact.hasLearned(gateway, removedAt)
      ) this.#revokedIds.add(id);
      const answer = await callGateway(
        agent,
        `${gateway.ip}:${port}`,
        path,
        { id, adapter: `a${draw(1, 6)}`, key },
      );
      if (customer === undefined) this.#checkUnknown(id, answer);
      await waitMs(draw(5, 60));
    }
    agent.destroy();
  }

  /** Requests a route that every configuration since the last restore has. */
  async #callRestored(
    agent: Agent,
    gateway: SoakGateway,
    id: string,
  ): Promise<void> {
    const { restoreCount, port } = this.#fleet;
    if (!this.#contact.hasLearned(gateway, this.#restoredAt)) {
      return await waitMs(OBSERVE_INTERVAL_MS);
    }
    this.#report.restored += 1;
    this.#customers.set(id, STEADY_CUSTOMER.name);
    const answer = await callGateway(
      agent,
      `${gateway.ip}:${port}`,
      `/restored-${restoreCount}/`,
      { id, adapter: "a1", key: STEADY_CUSTOMER.key },
    );
    if (answer?.status === 404 && restoreCount === this.#fleet.restoreCount) {
      this.#report.violations.push(
        `${id}: ${gateway.ip} has no configuration of after restore ${restoreCount}`,
      );
    }
  }

  #drawCall(draw: Draw, id: string): CustomerCall {
    const removed = [...this.#removedAt.keys()];
    const drawFrom = (keys: readonly string[]): CustomerCall => ({
      key: keys[draw(0, keys.length - 1)] ?? "",
      customer: ROTATING_CUSTOMER,
    });
    switch (draw(0, 3)) {
      case 0:
        return { key: `key-unknown-${id}`, customer: undefined };
      case 1:
        return drawFrom(this.#keys);
      default:
        return drawFrom(removed);
    }
  }

  #checkUnknown(id: string, answer: Answer | undefined): void {
    if (!answer || answer.status === 401 || answer.status === 503) return;
    this.#report.violations.push(
      `${id}: an unknown key was answered with ${answer.status}`,
    );
  }

  #createKey(): string {
    this.#keyCount += 1;
    return `key-rotating-${this.#keyCount}`;
  }

  #buildTenants(limit = UNREACHED_LIMIT): object[] {
    return [
      { name: STEADY_CUSTOMER.name, api_keys: [STEADY_CUSTOMER.key] },
      { name: ROTATING_CUSTOMER, api_keys: this.#keys },
      {
        name: LIMITED_CUSTOMER.name,
        api_keys: [LIMITED_CUSTOMER.key],
        unit: "tokens",
        plain_tokens: 200,
        rate_per_s: limit,
        burst: limit,
      },
    ];
  }
}

/** Draws a limit: one far below what the customer sends, or none in effect. */
function drawLimit(draw: Draw): number {
  return draw(0, 4) === 0 ? UNREACHED_LIMIT : draw(500, 10_000);
}

function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (from, to) => uniformInt(generator, from, to);
}
