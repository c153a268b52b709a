/**
 * HTTP client of the daemons, for the demo, the process tests and the load
 * tool.
 */

/** Answer to a call, read to the end of its connection. */
export interface CallerAnswer {
  status: number;
  headers: Headers;
  text: string;
  /** Whether the body is complete; a stream must also contain its end mark. */
  isWhole: boolean;
  /**
   * Error in the answer, also at the end of a broken stream; undefined if there
   * is none.
   */
  refusal: { reason: string; outcome: string; ticket?: string } | undefined;
}

export interface Call {
  /** Address on which a daemon listens for callers. */
  address: string;
  token: string;
  path?: string;
  body: unknown;
  ticket?: string;
  signal?: AbortSignal;
  /** Called at each chunk with all text received so far. */
  onText?: (text: string) => void;
}

/** A call whose answer is being read. */
export interface RunningCall {
  answer: Promise<CallerAnswer>;
  /** Returns all text received so far. */
  getText(): string;
}

/** Status of an answer whose connection failed before the head was received. */
export const NO_ANSWER_STATUS = 0;

/** Sends one request and reads the answer to the end. */
export async function sendCall(call: Call): Promise<CallerAnswer> {
  const response = await fetch(
    `http://${call.address}${call.path ?? "/v1/chat/completions"}`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${call.token}`,
        "content-type": "application/json",
        ...(call.ticket === undefined
          ? {}
          : { "idempotency-key": call.ticket }),
      },
      body: JSON.stringify(call.body),
      ...(call.signal ? { signal: call.signal } : {}),
    },
  );
  const { text, isEnded } = await readBody(response, call.onText);
  const isStream = response.headers.get("content-type")
    ?.startsWith("text/event-stream") ?? false;
  return {
    status: response.status,
    headers: response.headers,
    text,
    isWhole: isEnded && (!isStream || text.includes("data: [DONE]")),
    refusal: readRefusal(text),
  };
}

/**
 * Calls a non-idempotent route: a first request gets the ticket, a second one
 * runs under it.
 */
export async function sendTicketedCall(call: Call): Promise<CallerAnswer> {
  const first = await sendCall(call);
  const ticket = first.refusal?.ticket;
  if (ticket === undefined) return first;
  return await sendCall({ ...call, ticket });
}

/**
 * Sends one request in the background; a failed connection gives an incomplete
 * answer instead of an error.
 */
export function startCall(call: Call): RunningCall {
  let text = "";
  const onText = (received: string): void => {
    text = received;
  };
  const answer = sendCall({ ...call, onText }).catch(() => ({
    status: NO_ANSWER_STATUS,
    headers: new Headers(),
    text,
    isWhole: false,
    refusal: undefined,
  }));
  return { answer, getText: () => text };
}

/**
 * Returns the tokens in an answer of the fake engine, each as
 * `adapter@version#number`.
 */
export function readTokens(text: string): string[] {
  return text.match(/[\w-]+@[\w.-]+#\d+/g) ?? [];
}

async function readBody(
  response: Response,
  onText: ((text: string) => void) | undefined,
): Promise<{ text: string; isEnded: boolean }> {
  const decoder = new TextDecoder();
  let text = "";
  try {
    for await (const chunk of response.body ?? []) {
      text += decoder.decode(chunk, { stream: true });
      onText?.(text);
    }
    return { text, isEnded: true };
  } catch {
    return { text, isEnded: false };
  }
}

function readRefusal(text: string): CallerAnswer["refusal"] {
  const match = /(\{"error":\{.*\}\})/.exec(text);
  if (!match?.[1]) return undefined;
  return (JSON.parse(match[1]) as { error: CallerAnswer["refusal"] }).error;
}
