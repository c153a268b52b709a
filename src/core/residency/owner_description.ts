/** Describes an owned upstream: to peers as a digest, to operators in full. */
import type { OwnerState } from "../../charts/owner_chart.ts";
import type { UpstreamDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { GrantedLeases } from "./granted_leases.ts";
import type { LeaseQueue } from "./lease_queue.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { OwnershipClaim } from "./ownership_claim.ts";
import type { SlotLoader } from "./slot_loader.ts";
import type { UpstreamReader } from "./upstream_reader.ts";

/** An upstream as its owner describes it to operators. */
export interface OwnedUpstreamDescription {
  upstreamId: string;
  state: OwnerState;
  up: boolean;
  fencing: number;
  slots: { adapterKey: string; state: string }[];
  capacity: number;
  leases: { holder: string; adapterKey: string; credits: number }[];
  creditsInUse: number;
  batchSize: number;
  waiting: number;
  evictionAllowedInMs: number;
}

/** Components of an owner from which a description is built. */
export interface DescribedParts {
  context: OwnerContext;
  claim: OwnershipClaim;
  reader: UpstreamReader;
  queue: LeaseQueue;
  leases: GrantedLeases;
  loader: SlotLoader;
}

/** Returns the digest of the upstream that is published to peers. */
export function buildUpstreamDigest(
  parts: DescribedParts,
  now: Milliseconds,
): UpstreamDigest {
  const { context, claim, reader, queue, leases, loader } = parts;
  return {
    upstreamId: context.upstreamId,
    residents: loader.slots.getByState("resident").map((slot) =>
      slot.adapterKey
    ),
    loading: loader.listPendingLoads(),
    creditsInUse: leases.getCreditsInUse(),
    waiting: queue.size,
    victimValue: loader.getVictimValue(now),
    leaving: reader.isLeaving(),
    up: reader.isUp() && claim.isOwning(),
  };
}

/** Returns the full description that is shown to operators. */
export function describeOwner(
  parts: DescribedParts,
  now: Milliseconds,
): OwnedUpstreamDescription {
  const { context, claim, reader, queue, leases, loader } = parts;
  return {
    upstreamId: context.upstreamId,
    state: claim.state,
    up: reader.isUp(),
    fencing: claim.fencing,
    slots: loader.slots.getSlots().map((slot) => ({
      adapterKey: slot.adapterKey,
      state: slot.state,
    })),
    capacity: loader.slots.getCapacity(),
    leases: leases.getLeases().map((lease) => ({
      holder: lease.holder,
      adapterKey: lease.adapterKey,
      credits: lease.credits,
    })),
    creditsInUse: leases.getCreditsInUse(),
    batchSize: context.options.pool.batchSize,
    waiting: queue.size,
    evictionAllowedInMs: claim.getEvictionAllowedInMs(now),
  };
}
