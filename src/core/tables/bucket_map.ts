/** Immutable hash map. An update copies only the buckets that it changes. */
import { hashText } from "../hashing.ts";

const BUCKET_COUNT = 512;

export class BucketMap<Value> {
  readonly size: number;
  readonly #buckets: readonly ReadonlyMap<string, Value>[];

  private constructor(
    buckets: readonly ReadonlyMap<string, Value>[],
    size: number,
  ) {
    this.#buckets = buckets;
    this.size = size;
  }

  static createFrom<Value>(
    entries: Iterable<readonly [string, Value]>,
  ): BucketMap<Value> {
    const buckets = Array.from(
      { length: BUCKET_COUNT },
      () => new Map<string, Value>(),
    );
    for (const [key, value] of entries) {
      buckets[getBucketIndex(key)]?.set(key, value);
    }
    return new BucketMap(buckets, countEntries(buckets));
  }

  get(key: string): Value | undefined {
    return this.#buckets[getBucketIndex(key)]?.get(key);
  }

  has(key: string): boolean {
    return this.get(key) !== undefined;
  }

  *listEntries(): Generator<[string, Value]> {
    for (const bucket of this.#buckets) yield* bucket;
  }

  /** Returns a new map with the changes applied. */
  apply(
    set: readonly (readonly [string, Value])[],
    removed: readonly string[],
  ): BucketMap<Value> {
    const buckets = [...this.#buckets];
    const copiedIndexes = new Set<number>();
    let size = this.size;
    const getOwnBucket = (key: string): Map<string, Value> => {
      const index = getBucketIndex(key);
      if (!copiedIndexes.has(index)) buckets[index] = new Map(buckets[index]);
      copiedIndexes.add(index);
      return buckets[index] as Map<string, Value>;
    };
    for (const key of removed) if (getOwnBucket(key).delete(key)) size -= 1;
    for (const [key, value] of set) {
      const bucket = getOwnBucket(key);
      if (!bucket.has(key)) size += 1;
      bucket.set(key, value);
    }
    return new BucketMap(buckets, size);
  }
}

function getBucketIndex(key: string): number {
  return hashText(key) % BUCKET_COUNT;
}

function countEntries(
  buckets: readonly ReadonlyMap<string, unknown>[],
): number {
  return buckets.reduce((sum, bucket) => sum + bucket.size, 0);
}
