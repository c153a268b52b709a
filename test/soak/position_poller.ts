/**
 * Reads from the gateways of a soak run, as their peers do, up to which position
 * of the store each has the configuration.
 */
import { Buffer } from "node:buffer";
import {
  comparePositions,
  START_POSITION,
  type StorePosition,
} from "../../src/core/view/store_position.ts";
import { decodePeerBatch } from "../../src/gateway/peer_batch.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import type { SoakFleet, SoakGateway } from "./soak_fleet.ts";

const POLL_INTERVAL_MS = 100;
/** A paused gateway does not answer. */
const TIMEOUT_MS = 500;
const PATH = "/published?set=configuration&era=0&after=0";

interface PolledPosition {
  /** Process that answered. */
  incarnation: number;
  position: StorePosition;
}

export class PositionPoller {
  readonly #fleet: SoakFleet;
  readonly #polled = new Map<SoakGateway, PolledPosition>();
  readonly #violations: string[];

  constructor(fleet: SoakFleet, violations: string[]) {
    this.#fleet = fleet;
    this.#violations = violations;
  }

  async run(endsAt: number): Promise<void> {
    await Promise.all(this.#fleet.gateways.map(async (gateway) => {
      while (Date.now() < endsAt) {
        await this.#poll(gateway);
        await waitMs(POLL_INTERVAL_MS);
      }
    }));
  }

  /** Returns whether every gateway has the configuration of that position. */
  haveAllReached(position: StorePosition): boolean {
    return this.#fleet.gateways.every((gateway) => {
      const polled = this.#polled.get(gateway);
      return polled?.incarnation === gateway.incarnation &&
        comparePositions(polled.position, position) >= 0;
    });
  }

  async #poll(gateway: SoakGateway): Promise<void> {
    const { incarnation } = gateway;
    const position = await this.#fetchPosition(gateway);
    if (!position || incarnation !== gateway.incarnation) return;
    const last = this.#polled.get(gateway);
    const lowest = last?.incarnation === incarnation
      ? last.position
      : START_POSITION;
    if (comparePositions(position, lowest) < 0) {
      this.#violations.push(
        `${gateway.ip}: position ${JSON.stringify(position)} after ${
          JSON.stringify(lowest)
        }`,
      );
    }
    this.#polled.set(gateway, { incarnation, position });
  }

  async #fetchPosition(
    gateway: SoakGateway,
  ): Promise<StorePosition | undefined> {
    const address = `${gateway.ip}:${this.#fleet.viewPort}`;
    try {
      const response = await fetch(`http://${address}${PATH}`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const bytes = Buffer.from(await response.arrayBuffer());
      const { era, asOf } = decodePeerBatch(bytes).batch;
      return { era, revision: asOf };
    } catch {
      return undefined; // It is down or paused.
    }
  }
}
