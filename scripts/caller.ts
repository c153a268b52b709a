/** A caller of the daemons, for the demo and the process tests. */

/** What a caller got back. */
export interface CallerAnswer {
  status: number;
  headers: Headers;
  text: string;
  /** Whether the body came to its proper end. */
  isWhole: boolean;
  /** Reason and outcome of a refusal; undefined for answers. */
  refusal: { reason: string; outcome: string; ticket?: string } | undefined;
}

export interface Call {
  /** Callers' address of a daemon. */
  address: string;
  token: string;
  path?: string;
  body: unknown;
  ticket?: string;
  signal?: AbortSignal;
  /** Called with the text so far at each chunk of the answer. */
  onText?: (text: string) => void;
}

/** A call whose answer is being read. */
export interface RunningCall {
  answer: Promise<CallerAnswer>;
  /** Returns the text that has come so far. */
  getText(): string;
}

/** Status of an answer that never began, because the connection ended first. */
export const NO_ANSWER_STATUS = 0;

/** Sends one request and reads the answer to its end. */
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

/** Calls a non-idempotent route: gets a ticket first, then runs under it. */
export async function sendTicketedCall(call: Call): Promise<CallerAnswer> {
  const first = await sendCall(call);
  const ticket = first.refusal?.ticket;
  if (ticket === undefined) return first;
  return await sendCall({ ...call, ticket });
}

/** Sends one request in the background; a connection that ends is an answer that is not whole. */
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

/** Returns the tokens of an answer of the fake engine, as `adapter@version#number`. */
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
