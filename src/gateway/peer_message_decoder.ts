/**
 * Validates datagrams from other gateways at the process boundary. Anyone may
 * send arbitrary bytes: only a complete envelope is accepted whose message
 * matches its schema and names the same sender as the envelope. Unknown fields
 * are ignored, so that messages of later versions can be read.
 */
import type { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { MAX_REPORTED_CUSTOMERS } from "../core/limits/customer_allotments.ts";
import { ipAddressSchema } from "../core/socket_address.ts";
import { DenialReason } from "../core/admission/admission_controller.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** The content of one datagram. */
export interface Envelope {
  /** Id of the sender; `incarnation` identifies the start of its process. */
  from: string;
  incarnation: string;
  /** Sequence number to acknowledge; absent for messages that are sent once. */
  number?: number | undefined;
  /**
   * Sequence numbers of the receiver's messages that the sender has received.
   */
  acknowledges?: number[] | undefined;
  message?: GatewayMessage | undefined;
}

/** Why a datagram is dropped. */
export const DropReason = {
  /** Not valid JSON. */
  Unreadable: "unreadable",
  /** A field is missing or has the wrong type. */
  Invalid: "invalid",
  /** The message is of a kind that this version doesn't know. */
  UnknownKind: "unknownKind",
  /** The message names another gateway as its sender than the envelope does. */
  ForeignSender: "foreignSender",
  /** The message lay unread for longer than it holds. */
  Expired: "expired",
  /** The message is valid, but its handler threw an error. */
  HandlerFault: "handlerFault",
} as const;
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/**
 * Longest time that a message may name, to either side: far beyond the time
 * limits of requests, and less than a timer takes (2^31 ms).
 */
const MAX_DURATION_MS = 24 * 60 * 60 * 1_000;

/** Time left, which may have passed already. */
const durationMs = z.number().min(-MAX_DURATION_MS).max(MAX_DURATION_MS);
const ageMs = z.number().nonnegative();
/** A number of things, or an estimate of one. */
const quantity = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);
const revision = z.number().int().nonnegative();
const era = revision;

const promptPartsSchema = z.array(
  z.object({ id: z.string(), tokens: quantity }),
);

const demandFields = {
  adapterPath: z.string(),
  promptTokens: quantity,
  outputTokens: quantity,
  promptParts: promptPartsSchema,
};

const heartbeatSchema = z.object({
  sender: z.object({
    id: z.string(),
    ip: ipAddressSchema,
    failureDomain: z.string(),
  }),
  incarnation: z.string(),
  beat: quantity,
  isLeaving: z.boolean(),
  promisedMs: durationMs.optional(),
  hasStore: z.boolean(),
  revisions: z.object({ configuration: revision, upstreams: revision }),
  eras: z.object({ configuration: era, upstreams: era }).optional(),
  heldEngines: z.array(z.string()),
  newcomerHeld: z.array(z.string()).optional(),
  contestedEngines: z.array(z.string()).optional(),
  fetchesInFlight: quantity,
  fullSpeedFetches: quantity.optional(),
  failing: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
  acceptsRelays: z.boolean().optional(),
  cutOffServices: z.array(z.string()).optional(),
  fenceUnixMs: z.number().optional(),
  sharesAllotments: z.boolean().optional(),
  sample: z.array(
    z.tuple([z.string(), ipAddressSchema, z.string(), quantity]),
  ),
  strikes: z.array(
    z.object({ fingerprint: z.string(), strikes: z.number() }),
  ),
  crashes: z.object({
    crashes: z.array(
      z.tuple([
        z.string(),
        ageMs,
        z.array(z.string()),
        z.array(z.tuple([z.string(), ageMs])),
      ]),
    ),
    outputs: z.array(z.tuple([z.string(), ageMs])),
    crashCounts: z.array(z.tuple([z.string(), z.number()])),
  }).optional(),
  requestCrashes: z.array(
    z.tuple([
      z.string(),
      quantity,
      z.array(z.tuple([z.string(), ageMs, ageMs])),
    ]),
  ).optional(),
});

const permitRequestSchema = z.object({
  ...demandFields,
  permitId: z.string(),
  holder: z.string(),
  model: z.string(),
  adapter: z.string(),
  version: z.number().optional(),
  priorityRank: z.number(),
  latencyObjectiveMs: durationMs.optional(),
  customer: z.number().int().nonnegative().max(0xffff_ffff).optional(),
  patienceMs: durationMs,
  firstTokenBudgetMs: durationMs,
  interTokenObjectiveMs: durationMs.optional(),
  lifetimeMs: durationMs,
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
    retryAfterMs: durationMs,
    knownHolder: z.string().optional(),
  }),
]);

const handoverSchema = z.object({
  acceptedAgeMs: durationMs,
  models: z.array(z.string()),
  sequence: revision,
  bornAtUnixMs: revision,
  fencing: z.object({ minSequence: quantity, minPosition: quantity })
    .optional(),
  adapters: z.array(z.tuple([z.string(), z.number(), z.boolean()])),
  recentOwners: z.array(z.tuple([z.string(), z.number()])).optional(),
});

const allotmentRatesSchema = z.array(z.tuple([z.string(), quantity]))
  .max(MAX_REPORTED_CUSTOMERS);

const allotmentReportSchema = z.object({
  reportedAt: quantity,
  rates: allotmentRatesSchema,
});

const allotmentTotalsSchema = allotmentReportSchema.extend({
  hosts: quantity,
});

const engineId = z.string();
const permitId = z.string();
const messageSchemas = [
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
  z.object({
    kind: z.literal("permitReleased"),
    engineId,
    permitId,
    longestPauseMs: ageMs.max(MAX_DURATION_MS).optional(),
  }),
  z.object({ kind: z.literal("firstToken"), engineId, permitId }),
  z.object({
    kind: z.literal("permitUnusable"),
    engineId,
    permitId,
    isMisdirected: z.boolean(),
    delayMs: durationMs,
    backoffMs: durationMs,
  }),
  z.object({
    kind: z.literal("runsHeld"),
    engineId,
    runs: z.array(
      z.object({ ...demandFields, permitId, lifetimeMs: durationMs }),
    ),
    total: quantity,
  }),
  z.object({
    kind: z.literal("handover"),
    engineId,
    handover: handoverSchema,
  }),
  z.object({
    kind: z.literal("allotmentReport"),
    report: allotmentReportSchema,
  }),
  z.object({
    kind: z.literal("allotmentTotals"),
    totals: allotmentTotalsSchema,
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
  message: z.discriminatedUnion("kind", messageSchemas).optional(),
});
const unknownKindSchema = z.object({
  ...envelopeFields,
  message: z.object({ kind: z.string() }),
});
const KNOWN_KINDS: ReadonlySet<string> = new Set(
  messageSchemas.map((schema) => schema.shape.kind.value),
);

/** Decodes a datagram; returns the envelope, or the reason to drop it. */
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

/**
 * Heartbeats and permit requests name their sender again, and answers go to
 * that name, so it has to be the envelope's sender.
 */
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
