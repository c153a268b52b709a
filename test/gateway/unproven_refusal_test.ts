/**
 * Upstreams that answer with a status by which callers are told that their
 * request has not run, and do not guarantee it: the request may have run, and a
 * caller that believed the status would run it again (REFUSED).
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import {
  type CallerResponse,
  type CallOptions,
  GatewayHarness,
} from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** More than the buffers of a connection hold. */
const UPLOAD = "x".repeat(8_000_000);
const MAX_ATTEMPTS = 2;

const STATUS_LINES: Record<number, string> = {
  408: "HTTP/1.1 408 Request Timeout",
  429: "HTTP/1.1 429 Too Many Requests",
  503: "HTTP/1.1 503 Service Unavailable",
};
const STATUSES = Object.keys(STATUS_LINES).map(Number);
const NON_IDEMPOTENT_PATHS = ["/unsafe/1", "/brief/1"];
const IDEMPOTENT_PATHS = ["/safe/1", "/resume/1"];
const PATHS = [...NON_IDEMPOTENT_PATHS, ...IDEMPOTENT_PATHS];

/** Responses by the proof that they have. */
const PROOFS: Record<string, Partial<ScriptedAnswer>> = {
  "neither id nor stamp": { isAnonymous: true },
  stamped: {},
};

test.before(async () => {
  harness.retrySlack = 1_000_000;
  harness.maxBodyBytes = 10_000_000;
  harness.routeOverrides = {
    safe: { attempts: MAX_ATTEMPTS },
    resume: { resumable: true, attempts: MAX_ATTEMPTS },
  };
  await harness.start({
    gateways: 1,
    engines: 2,
    services: STATUSES.length + 1,
  });
});
test.after(() => harness.stop());

function createRefusal(
  status: number,
  fields: Partial<ScriptedAnswer> = {},
): ScriptedAnswer {
  return {
    statusLine: STATUS_LINES[status] ?? "",
    headers: { "Retry-After": "0" },
    framing: "length",
    body: "run, and failed",
    end: "close",
    ...fields,
  };
}

let lastNumber = 0;

/** Calls the path; the attempts get the answers in their order. */
async function callScripted(
  path: string,
  answers: ScriptedAnswer[],
  options: CallOptions = {},
): Promise<CallerResponse & { runs: number }> {
  lastNumber += 1;
  const id = `unproven-${lastNumber}`;
  harness.scriptAnswers(id, answers);
  const response = await harness.call(path, { id, ...options });
  return { ...response, runs: harness.countRuns(id) };
}

/** Checks that the caller got a response of the gateway that promises nothing. */
function assertWithheld({ status, headers, body }: CallerResponse): void {
  assert.is(status, 502, body);
  assert.is(headers["x-response-stamp"], undefined);
  assert.is(headers["retry-after"], undefined);
  assert.match(body, "may have run");
}

// First, as the other tests make every upstream fail.
for (const [index, status] of STATUSES.entries()) {
  test(`an upstream that answers ${status} without guarantee and stamp is avoided`, async () => {
    // Another one for each status, as upstreams are avoided for some seconds.
    const faulty = harness.services[index];
    if (!faulty) throw new Error("expected a service, actual none");
    const ids = Array.from({ length: 40 }, (_, call) => `${status}.${call}`);
    const sharedAnswers = faulty.scriptedAnswers;
    faulty.scriptedAnswers = new Map(
      ids.map((id) => [id, [createRefusal(status, { isAnonymous: true })]]),
    );
    const statuses: number[] = [];
    for (const id of ids) {
      statuses.push((await harness.call("/unsafe/1", { id })).status);
    }
    faulty.scriptedAnswers = sharedAnswers;
    assert.equal([...new Set(statuses)].sort(), [200, 502]);
    const failed = statuses.filter((each) => each === 502).length;
    assert.ok(failed < ids.length / 4, `${failed} of ${ids.length} failed`);
  });
}

for (const status of STATUSES) {
  for (const [proof, fields] of Object.entries(PROOFS)) {
    for (const path of NON_IDEMPOTENT_PATHS) {
      for (const framing of ["length", "chunked", "close"] as const) {
        // A booking that had run was reported as not run, and made twice.
        test(`REFUSED: ${path}: a ${status} without a guarantee, ${proof}, ${framing}, is no "not run" to the caller`, async () => {
          const refusal = createRefusal(status, { ...fields, framing });
          const response = await callScripted(path, [refusal]);
          assertWithheld(response);
          assert.is(response.runs, 1);
        });
      }
    }
  }

  for (const path of IDEMPOTENT_PATHS) {
    test(`${path}: a ${status} without guarantee and stamp is tried again, and served`, async () => {
      const refusal = createRefusal(status, PROOFS["neither id nor stamp"]);
      const response = await callScripted(path, [refusal]);
      assert.is(response.status, 200);
      assert.is(response.runs, 2);
    });

    test(`REFUSED: ${path}: a ${status} without guarantee and stamp from every upstream is no "not run"`, async () => {
      const refusal = createRefusal(status, PROOFS["neither id nor stamp"]);
      const response = await callScripted(path, [refusal, refusal]);
      assertWithheld(response);
      assert.is(response.runs, MAX_ATTEMPTS);
    });

    test(`${path}: a stamped ${status} to an idempotent request is returned unchanged`, async () => {
      const refusal = createRefusal(status);
      const response = await callScripted(path, [refusal, refusal]);
      assert.is(response.status, status);
      assert.ok(response.headers["x-response-stamp"]);
      assert.is(response.body, refusal.body);
    });
  }

  for (const path of PATHS) {
    for (const [proof, fields] of Object.entries(PROOFS)) {
      for (const end of ["close", "reset"] as const) {
        test(`REFUSED: ${path}: a ${status}, ${proof}, whose body breaks off (${end}) is no "not run"`, async () => {
          const refusal = createRefusal(status, {
            ...fields,
            sentBytes: 4,
            end,
          });
          const response = await callScripted(path, [refusal, refusal]);
          assertWithheld(response);
        });
      }
    }
  }

  test(`REFUSED: a ${status} that arrives while the body is being sent is no "not run"`, async () => {
    const refusal = createRefusal(status, { isEarly: true, isAnonymous: true });
    const response = await callScripted("/unsafe/1", [refusal], {
      body: UPLOAD,
    });
    assertWithheld(response);
    assert.is(response.runs, 1);
  });

  for (const path of PATHS) {
    test(`${path}: a ${status} with a guarantee is tried elsewhere, and served`, async () => {
      const refusal = createRefusal(status, { headers: { "X-Not-Run": "1" } });
      const response = await callScripted(path, [refusal]);
      assert.is(response.status, 200);
    });
  }
}

for (const path of IDEMPOTENT_PATHS) {
  test(`REFUSED: ${path}: a request that may have run before its last attempt was refused is not reported as not run`, async () => {
    const lost = createRefusal(503, { sentHeadBytes: 0 });
    const refusal = createRefusal(503, { headers: { "X-Not-Run": "1" } });
    const answers = [lost, ...Array.from({ length: 6 }, () => refusal)];
    assertWithheld(await callScripted(path, answers));
  });
}

test("REFUSED: the rest of a resumable stream refused without a guarantee breaks the stream off", async () => {
  const begun: ScriptedAnswer = {
    framing: "chunked",
    headers: { "Content-Type": "text/event-stream" },
    body: "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    sentBytes: 24,
    end: "close",
  };
  const refusal = createRefusal(503, { isAnonymous: true });
  const response = await callScripted("/resume/1", [begun, refusal]);
  assert.is(response.status, 200);
  assert.not.ok(response.isComplete);
  assert.is(response.body, "id: 1\ndata: piece 1\n\n");
});

test.run();
