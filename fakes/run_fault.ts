/**
 * Faults of single runs and calls, by which an upstream violates its contract.
 */

/** Fault of one run. */
export type RunFault =
  /** The request is answered with this status and never runs. */
  | { kind: "answerStatus"; status: number }
  | { kind: "wrongHeaderModel" }
  | { kind: "wrongBodyModel" }
  | { kind: "wrongRequestId" }
  /**
   * The run answers nothing until it is cancelled or its connection is closed.
   */
  | { kind: "stall" }
  | { kind: "cutBeforeHead" }
  | { kind: "cutAfterHead" }
  /**
   * The connection is closed within an event, or within the body of an answer
   * that is not streamed.
   */
  | { kind: "cutMidAnswer" }
  /** Whole events, each in a chunk of its own, are sent until the close. */
  | { kind: "endlessEvents" }
  /** The stream is ended without its end mark `[DONE]`. */
  | { kind: "omitEndMark" };

/** Model and request id that an answer names. */
export interface AnswerIdentity {
  headerModel: string;
  bodyModel: string;
  requestId: string;
}

const WRONG_MODEL = "other@0";
const WRONG_REQUEST_ID = "other-request";

/**
 * Returns the model and request id that the answer of a run names under a
 * fault.
 */
export function createAnswerIdentity(
  run: { id: string; model: string },
  fault: RunFault | undefined,
): AnswerIdentity {
  const { kind } = fault ?? {};
  return {
    headerModel: kind === "wrongHeaderModel" ? WRONG_MODEL : run.model,
    bodyModel: kind === "wrongBodyModel" ? WRONG_MODEL : run.model,
    requestId: kind === "wrongRequestId" ? WRONG_REQUEST_ID : run.id,
  };
}
