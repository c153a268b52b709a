/** Size and comparison of upstream digests. */
import type { PublishedDigest, UpstreamDigest } from "../messages.ts";

const DIGEST_BASE_BYTES = 24;

/** Returns the approximate size of the digest in a message. */
export function estimateDigestBytes(published: PublishedDigest): number {
  const { ownerId, digest } = published;
  let bytes = DIGEST_BASE_BYTES + ownerId.length + digest.upstreamId.length;
  for (const key of digest.residents) bytes += key.length + 2;
  for (const key of digest.loading) bytes += key.length + 2;
  return bytes;
}

/** Returns whether the digests differ in anything but load. */
export function hasResidencyChanged(
  first: UpstreamDigest,
  second: UpstreamDigest,
): boolean {
  return first.up !== second.up || first.leaving !== second.leaving ||
    hasListChanged(first.residents, second.residents) ||
    hasListChanged(first.loading, second.loading);
}

export function hasLoadChanged(
  first: UpstreamDigest,
  second: UpstreamDigest,
): boolean {
  return first.creditsInUse !== second.creditsInUse ||
    first.waiting !== second.waiting ||
    first.victimValue !== second.victimValue;
}

function hasListChanged(
  first: readonly string[],
  second: readonly string[],
): boolean {
  return first.length !== second.length ||
    first.some((key, index) => key !== second[index]);
}
