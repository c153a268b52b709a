/** Encodes envelopes of peer messages as protobuf. The core's message types have the same fields as the protobuf ones. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { PeerMessage } from "../core/messages.ts";
import {
  DeliverReplySchema,
  type Envelope,
  EnvelopeSchema,
  type PeerMessage as WireMessage,
} from "./generated/peer_pb.ts";

/** Messages from one daemon to another, in the order in which they were sent. */
export interface EnvelopeStructure {
  from: string;
  messages: PeerMessage[];
}

export function encodeEnvelope(envelope: EnvelopeStructure): Uint8Array {
  const messages = envelope.messages.map((message) => ({
    body: { case: message.kind, value: message },
  }));
  const wire = create(
    EnvelopeSchema,
    { from: envelope.from, messages } as unknown as Envelope,
  );
  return toBinary(EnvelopeSchema, wire);
}

/** Decodes an envelope; messages of a kind unknown to this version are skipped. */
export function decodeEnvelope(bytes: Uint8Array): EnvelopeStructure {
  const wire = fromBinary(EnvelopeSchema, bytes);
  return {
    from: wire.from,
    messages: wire.messages
      .map(decodeMessage)
      .filter((message) => message !== undefined),
  };
}

const EMPTY_REPLY = toBinary(DeliverReplySchema, create(DeliverReplySchema));

export function encodeReply(): Uint8Array {
  return EMPTY_REPLY;
}

function decodeMessage(message: WireMessage): PeerMessage | undefined {
  if (message.body.case === undefined) return undefined;
  const fields = stripTypeNames(message.body.value) as object;
  return { kind: message.body.case, ...fields } as PeerMessage;
}

/** Returns a copy without the fields that the library adds, so that decoded messages equal those sent. */
function stripTypeNames(value: unknown): unknown {
  if (value instanceof Uint8Array) return value;
  if (Array.isArray(value)) return value.map(stripTypeNames);
  if (typeof value !== "object" || value === null) return value;
  const copy: Record<string, unknown> = {};
  for (const [key, field] of Object.entries(value)) {
    if (key === "$typeName" || key === "$unknown") continue;
    copy[key] = stripTypeNames(field);
  }
  return copy;
}
