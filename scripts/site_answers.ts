/** Checks of the answers that callers of a test deployment get. */
import { type CallerAnswer, readTokens } from "./caller.ts";

/**
 * Returns whether the answer is complete: every token of the adapter exactly
 * once and in order.
 */
export function isExactAnswer(
  answer: CallerAnswer,
  adapterKey: string,
  tokens: number,
): boolean {
  const expected = Array.from(
    { length: tokens },
    (_, index) => `${adapterKey}#${index}`,
  );
  const found = readTokens(answer.text);
  return answer.status === 200 && answer.isWhole &&
    answer.headers.get("x-adapter") === adapterKey.split("@")[0] &&
    found.length === tokens &&
    found.every((token, index) => token === expected[index]);
}

/** Formats an answer for the message of a failed assertion. */
export function describeAnswer(answer: CallerAnswer): string {
  const { status, isWhole, refusal, text } = answer;
  const tokens = readTokens(text);
  return JSON.stringify({
    status,
    isWhole,
    refusal,
    tokens: tokens.length,
    first: tokens[0],
    last: tokens.at(-1),
  });
}
