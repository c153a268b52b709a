/** Encoded envelopes for the contract tests between daemons. */
import { create, toBinary } from "@bufbuild/protobuf";
import { encodeEnvelope } from "../../src/protocol/peer_codec.ts";
import {
  type Envelope,
  EnvelopeSchema,
  PeerMessageSchema,
} from "../../src/protocol/generated/peer_pb.ts";

const UNKNOWN_PEER = "entry-9";
/** Encoded envelope of one message, whose only field is number 100 and empty. */
const UNKNOWN_KIND = new Uint8Array([0x12, 3, 0xa2, 6, 0]);

/** Returns an envelope of one message of a kind that no version defines. */
export function createUnknownKind(): Uint8Array {
  return UNKNOWN_KIND;
}

/** Returns an envelope for each kind of message, with no field of the message set. */
export function listEmptyMessages(): { kind: string; bytes: Uint8Array }[] {
  return PeerMessageSchema.fields.map((field) => {
    const envelope = {
      from: UNKNOWN_PEER,
      messages: [{ body: { case: field.localName, value: {} } }],
    };
    const wire = create(EnvelopeSchema, envelope as unknown as Envelope);
    return { kind: field.localName, bytes: toBinary(EnvelopeSchema, wire) };
  });
}

/** Returns a lease request for an upstream that no daemon owns. */
export function createLeaseRequest(): Uint8Array {
  return encodeEnvelope({
    from: UNKNOWN_PEER,
    messages: [{
      kind: "leaseRequest",
      leaseRequestId: "request-1",
      upstreamId: "other",
      adapterKey: "briefing@v1",
      credits: 1,
      priorityRank: 0,
      customer: "derwent",
      remainingMs: 1_000,
      maxRunMs: 1_000,
      exclusive: false,
      isCopy: false,
      sentAtMs: 0,
    }],
  });
}

/** Returns an envelope of a delta between two revisions of the tables, with an empty digest. */
export function encodeTables(
  toRevision: number,
  fromRevision = toRevision - 1,
): Uint8Array {
  const delta = {
    fromRevision,
    toRevision,
    digest: "",
    customers: [],
    routes: [],
    pools: [],
    removedCustomers: [],
    removedRoutes: [],
    removedPools: [],
  };
  return encodeEnvelope({
    from: UNKNOWN_PEER,
    messages: [{
      kind: "tablesTransfer",
      tablesDeltas: [delta],
      hostListDeltas: [],
    }],
  });
}
