/** Errors that carry the step that failed and the peer involved. */

export class StepError extends Error {
  readonly step: string;
  readonly peer: string;

  constructor(
    message: string,
    options: { step: string; peer: string; cause?: unknown },
  ) {
    super(message, { cause: options.cause });
    this.name = "StepError";
    this.step = options.step;
    this.peer = options.peer;
  }
}

/** Returns the message of any thrown value, with its error code if there is one. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as { code?: unknown }).code;
  return typeof code === "string" ? `${code}: ${error.message}` : error.message;
}

/** Returns the message of any thrown value; that of a StepError follows its step and peer. */
export function describeStep(error: unknown): string {
  const text = describeError(error);
  return error instanceof StepError
    ? `${error.step}: ${error.peer}: ${text}`
    : text;
}

/** Returns the code of an error or of its cause, or an empty string. */
export function getErrorCode(error: unknown): string {
  if (!(error instanceof Error)) return "";
  const code = (error as { code?: unknown }).code;
  if (typeof code === "string") return code;
  return error.cause === undefined ? "" : getErrorCode(error.cause);
}

/** Error codes of connections that could not be established. */
const CONNECT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

/** Returns whether the connection could not be established, so that no byte of the request was sent. */
export function isConnectError(error: unknown): boolean {
  const code = getErrorCode(error);
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  return CONNECT_CODES.has(code) && getSyscall(error) === "connect";
}

function getSyscall(error: unknown): string {
  if (!(error instanceof Error)) return "";
  const { syscall } = error as { syscall?: unknown };
  if (typeof syscall === "string") return syscall;
  return error.cause === undefined ? "" : getSyscall(error.cause);
}
