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
}

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
  const { text, isEnded } = await readBody(response);
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

async function readBody(
  response: Response,
): Promise<{ text: string; isEnded: boolean }> {
  const decoder = new TextDecoder();
  let text = "";
  try {
    for await (const chunk of response.body ?? []) {
      text += decoder.decode(chunk, { stream: true });
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
