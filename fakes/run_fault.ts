/** Faults of single runs and calls, with which tests break what an upstream promises. */

/** What goes wrong with one run. */
export type RunFault =
  /** Answered with this status before the run starts. */
  | { kind: "answerStatus"; status: number }
  | { kind: "wrongHeaderModel" }
  | { kind: "wrongBodyModel" }
  | { kind: "wrongRequestId" }
  /** The run goes on and nothing is answered until it is cancelled. */
  | { kind: "stall" }
  | { kind: "cutBeforeHead" }
  | { kind: "cutAfterHead" }
  /** Cut within an event, or within the body of a whole answer. */
  | { kind: "cutMidAnswer" }
  /** Ended properly, but without the end mark of a stream. */
  | { kind: "omitEndMark" };

/** What an answer says of itself. */
export interface AnswerIdentity {
  headerModel: string;
  bodyModel: string;
  requestId: string;
}

const WRONG_MODEL = "other@0";
const WRONG_REQUEST_ID = "other-request";

/** Returns what the answer of a run says of itself under a fault. */
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
