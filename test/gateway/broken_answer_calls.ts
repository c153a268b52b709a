/**
 * Requests of each kind for tests that send broken answers, and what their callers
 * get: a failure, or of a stream that is resumed only what preceded the answer.
 */
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";

export const EVENTS: readonly [string, string] = [
  "id: 1\ndata: piece 1\n\n",
  "id: 2\ndata: piece 2\n\n",
];
export const EVENT_STREAM = { "Content-Type": "text/event-stream" };

export interface BrokenAnswerCall {
  path: string;
  method: "GET" | "POST";
  /** Attempts before the one with the broken answer. */
  earlier: ScriptedAnswer[];
}

/** Routes of the harness, and fields that they need, so that one answer decides. */
export const CALL_ROUTES: Record<string, object> = {
  safe: { attempts: 1 },
  resume: { resumable: true, attempts: 2 },
};

export const CALLS: readonly BrokenAnswerCall[] = [
  { path: "/unsafe/1", method: "POST", earlier: [] },
  { path: "/safe/1", method: "GET", earlier: [] },
  { path: "/brief/1", method: "POST", earlier: [] },
  {
    path: "/resume/1",
    method: "POST",
    earlier: [{
      framing: "chunked",
      headers: EVENT_STREAM,
      body: EVENTS.join(""),
      sentBytes: EVENTS[0].length + 3,
      end: "close",
    }],
  },
];
