/**
 * Finds the customer that holds an API key. Keys are kept as hashes, so that a
 * dump of this process shows none, and are looked up in constant time.
 */
import { createHash } from "node:crypto";

/** What a customer's allotment is counted in. */
export const AllotmentUnit = {
  Requests: "requests",
  Tokens: "tokens",
} as const;
export type AllotmentUnit = (typeof AllotmentUnit)[keyof typeof AllotmentUnit];

/** Limit on what all hosts together send to upstreams for a customer. */
export interface CustomerAllotment {
  unit: AllotmentUnit;
  /** Cost in tokens of a request that declares none. */
  plainTokens: number;
  /** In units per second. */
  ratePerS: number;
  /** In units, beyond the rate. */
  burst: number;
}

/** A customer of the published configuration. */
export interface PublishedCustomer {
  name: string;
  keyHashes: readonly string[];
  /** Replaces that of the routes; 0 is the most urgent. */
  priorityRank: number | undefined;
  /** Undefined if nothing is limited. */
  allotment: CustomerAllotment | undefined;
}

export function hashApiKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url");
}

export class CustomerDirectory {
  readonly #byKeyHash = new Map<string, PublishedCustomer>();
  readonly #byName = new Map<string, PublishedCustomer>();

  constructor(customers: readonly PublishedCustomer[]) {
    for (const customer of customers) {
      this.#byName.set(customer.name, customer);
      for (const hash of customer.keyHashes) {
        this.#byKeyHash.set(hash, customer);
      }
    }
  }

  /** Returns the customer that holds the key, or undefined. */
  findByKey(key: string): PublishedCustomer | undefined {
    return key === "" ? undefined : this.#byKeyHash.get(hashApiKey(key));
  }

  findByName(name: string): PublishedCustomer | undefined {
    return this.#byName.get(name);
  }

  list(): PublishedCustomer[] {
    return [...this.#byName.values()];
  }
}
