/**
 * Decides whether a response whose connection ended without an error is
 * complete. A length or chunks show that by themselves. A response without
 * either ends with its connection, which looks the same when its upstream's
 * process has ended: then only the upstream itself can tell.
 */
import { BodyFraming } from "./body_framing.ts";

export type ResponseEnd =
  | { kind: "complete" }
  | { kind: "truncated"; detail: string }
  /** Complete unless the upstream has crashed. */
  | { kind: "unproven" };

export interface ResponseEndConditions {
  framing: BodyFraming;
  /** Progress of a streamed response; undefined for any other. */
  stream: { isInEvent: boolean; eventCount: number } | undefined;
}

export function decideResponseEnd(
  { framing, stream }: ResponseEndConditions,
): ResponseEnd {
  if (stream?.isInEvent) {
    return { kind: "truncated", detail: "the stream ended within an event" };
  }
  if (framing !== BodyFraming.Close) return { kind: "complete" };
  return stream?.eventCount === 0
    ? { kind: "truncated", detail: "the stream ended before its first event" }
    : { kind: "unproven" };
}
