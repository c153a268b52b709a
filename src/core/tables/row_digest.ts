/**
 * Order-independent digest of a set of rows: for each of two hash functions, the
 * sum of the rows' hashes. It is updated incrementally, with only the rows that
 * change.
 */
import { hashText } from "../hashing.ts";

const SECOND_SEED = 0x9e3779b9;

export interface RowDigest {
  readonly first: number;
  readonly second: number;
}

export const EMPTY_DIGEST: RowDigest = { first: 0, second: 0 };

export function addRow(digest: RowDigest, rowText: string): RowDigest {
  return {
    first: (digest.first + hashText(rowText)) >>> 0,
    second: (digest.second + hashText(rowText, SECOND_SEED)) >>> 0,
  };
}

export function removeRow(digest: RowDigest, rowText: string): RowDigest {
  return {
    first: (digest.first - hashText(rowText)) >>> 0,
    second: (digest.second - hashText(rowText, SECOND_SEED)) >>> 0,
  };
}

export function mergeDigests(digests: readonly RowDigest[]): RowDigest {
  return digests.reduce((sum, digest) => ({
    first: (sum.first + digest.first) >>> 0,
    second: (sum.second + digest.second) >>> 0,
  }), EMPTY_DIGEST);
}

/** Returns the digest as 16 hexadecimal digits. */
export function formatDigest(digest: RowDigest): string {
  return formatHash(digest.first) + formatHash(digest.second);
}

function formatHash(hash: number): string {
  return hash.toString(16).padStart(8, "0");
}
