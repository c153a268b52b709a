/**
 * Checks datagrams of other gateways at the edge. Anybody may send any bytes: only
 * a whole envelope with a message of known shape, in which the sender speaks for
 * itself, gets further. Unknown fields are left out, so that a later version's
 * messages are understood.
 */
import type { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { DenialReason } from "../core/admission/admission_controller.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** What goes into one datagram. */
export interface Envelope {
  /** Sender's id and incarnation. */
  from: string;
  incarnation: string;
  /** Number to acknowledge; absent for messages sent once. */
  number?: number | undefined;
  /** Numbers of the receiver's messages that have come. */
  acknowledges?: number[] | undefined;
  message?: GatewayMessage | undefined;
}

/** Why a datagram is dropped. */
export const DropReason = {
  /** No JSON text. */
  Unreadable: "unreadable",
  /** A field is missing, or of another type. */
  Invalid: "invalid",
  /** A message that this version doesn't know. */
  UnknownKind: "unknownKind",
  /** It speaks for another gateway than the one that sent it. */
  ForeignSender: "foreignSender",
  /** It is valid, and its handling failed. */
  HandlerFault: "handlerFault",
} as const;
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

const promptPartsSchema = z.array(
  z.object({ id: z.string(), tokens: z.number() }),
);

const demandFields = {
  adapterPath: z.string(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  promptParts: promptPartsSchema,
};

const heartbeatSchema = z.object({
  sender: z.object({
    id: z.string(),
    ip: z.string(),
    failureDomain: z.string(),
  }),
  incarnation: z.string(),
  beat: z.number(),
  isLeaving: z.boolean(),
  promisedMs: z.number().optional(),
  hasStore: z.boolean(),
  revisions: z.object({ configuration: z.number(), upstreams: z.number() }),
  heldEngines: z.array(z.string()),
  newcomerHeld: z.array(z.string()).optional(),
  fetchesInFlight: z.number(),
  fullSpeedFetches: z.number().optional(),
  failing: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
  fenceUnixMs: z.number(),
  sample: z.array(z.tuple([z.string(), z.string(), z.string(), z.number()])),
  strikes: z.array(
    z.object({ fingerprint: z.string(), strikes: z.number() }),
  ),
});

const permitRequestSchema = z.object({
  ...demandFields,
  permitId: z.string(),
  holder: z.string(),
  model: z.string(),
  adapter: z.string(),
  version: z.number().optional(),
  priorityRank: z.number(),
  patienceMs: z.number(),
  firstTokenBudgetMs: z.number(),
  lifetimeMs: z.number(),
  isLastChoice: z.boolean(),
});

const permitAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("granted"),
    permitId: z.string(),
    holder: z.string(),
  }),
  z.object({
    kind: z.literal("denied"),
    permitId: z.string(),
    holder: z.string(),
    reason: z.enum(DenialReason),
    retryAfterMs: z.number(),
    knownHolder: z.string().optional(),
  }),
]);

const handoverSchema = z.object({
  acceptedAgeMs: z.number(),
  models: z.array(z.string()),
  sequence: z.number(),
  bornAtUnixMs: z.number(),
  adapters: z.array(z.tuple([z.string(), z.number(), z.boolean()])),
});

const engineId = z.string();
const permitId = z.string();
const messageOptions = [
  z.object({ kind: z.literal("heartbeat"), heartbeat: heartbeatSchema }),
  z.object({
    kind: z.literal("permitRequest"),
    engineId,
    request: permitRequestSchema,
  }),
  z.object({
    kind: z.literal("permitAnswer"),
    engineId,
    answer: permitAnswerSchema,
  }),
  z.object({ kind: z.literal("permitReleased"), engineId, permitId }),
  z.object({ kind: z.literal("firstToken"), engineId, permitId }),
  z.object({
    kind: z.literal("permitUnusable"),
    engineId,
    permitId,
    isMisdirected: z.boolean(),
    delayMs: z.number(),
    backoffMs: z.number(),
  }),
  z.object({
    kind: z.literal("runsHeld"),
    engineId,
    runs: z.array(
      z.object({ ...demandFields, permitId, lifetimeMs: z.number() }),
    ),
    total: z.number(),
  }),
  z.object({
    kind: z.literal("handover"),
    engineId,
    handover: handoverSchema,
  }),
] as const;

const envelopeFields = {
  from: z.string(),
  incarnation: z.string(),
  number: z.number().optional(),
  acknowledges: z.array(z.number()).optional(),
};
const envelopeSchema: z.ZodType<Envelope> = z.object({
  ...envelopeFields,
  message: z.discriminatedUnion("kind", messageOptions).optional(),
});
const unknownKindSchema = z.object({
  ...envelopeFields,
  message: z.object({ kind: z.string() }),
});
const KNOWN_KINDS: ReadonlySet<string> = new Set(
  messageOptions.map((option) => option.shape.kind.value),
);

/** Returns the envelope of a datagram, or why it is none. */
export function decodeEnvelope(bytes: Buffer): Result<Envelope, DropReason> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return Err(DropReason.Unreadable);
  }
  const parsed = envelopeSchema.safeParse(value);
  if (!parsed.success) return Err(classifyInvalid(value));
  const envelope = parsed.data;
  return hasMatchingSender(envelope)
    ? Ok(envelope)
    : Err(DropReason.ForeignSender);
}

function classifyInvalid(value: unknown): DropReason {
  const { data } = unknownKindSchema.safeParse(value);
  return data && !KNOWN_KINDS.has(data.message.kind)
    ? DropReason.UnknownKind
    : DropReason.Invalid;
}

/** Heartbeats and questions name their sender once more: an answer goes to that name. */
function hasMatchingSender({ from, message }: Envelope): boolean {
  switch (message?.kind) {
    case "heartbeat":
      return message.heartbeat.sender.id === from;
    case "permitRequest":
      return message.request.holder === from;
    default:
      return true;
  }
}
