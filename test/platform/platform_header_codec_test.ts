/** Headers of callers and replicas: which are decoded, dropped, set and forwarded. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformHeaderCodec } from "../../platform/platform_header_codec.ts";

const codec = new PlatformHeaderCodec();
const ATTEMPT = {
  upstreamId: "i-1",
  remainingMs: 812.9,
  adapterVersion: 3,
  priorityRank: 1,
  caller: undefined,
  lastEventId: undefined,
};

function toMap(rawHeaders: readonly string[]): Map<string, string> {
  const map = new Map<string, string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    map.set(
      rawHeaders[index]?.toLowerCase() ?? "",
      rawHeaders[index + 1] ?? "",
    );
  }
  return map;
}

test("decodes the metadata of a request", () => {
  const metadata = codec.decodeRequestMetadata({
    host: "mill.example:8080",
    "x-request-id": "r1",
    "x-model": "m/a3",
    "x-token-counts": "1460,80",
    "x-prompt-prefix": "5c1e:800,91bd:410",
    "x-deadline-ms": "5000",
  }, "/plans/1?day=2");
  assert.is(metadata.hostName, "mill.example");
  assert.is(metadata.path, "/plans/1");
  assert.is(metadata.model, "m");
  assert.is(metadata.adapter, "a3");
  assert.is(metadata.promptTokens, 1_460);
  assert.is(metadata.outputTokens, 80);
  assert.equal(metadata.promptParts[1], { id: "91bd", tokens: 410 });
  assert.is(metadata.deadlineMs, 5_000);
});

test("UNASKED: where requests have keys, the key is dropped and the customer replaced by the one that holds it", () => {
  const raw = ["X-Key", "secret", "x-tenant", "theirs", "X-Trace", "t1"];
  const sent = codec.encodeAttemptHeaders(raw, {
    ...ATTEMPT,
    caller: { customer: "mill-1" },
  });
  assert.not(sent.includes("secret"));
  assert.not(sent.includes("theirs"));
  assert.is(toMap(sent).get("x-tenant"), "mill-1");
  const onPublicRoute = toMap(codec.encodeAttemptHeaders(raw, {
    ...ATTEMPT,
    caller: { customer: undefined },
  }));
  assert.equal(
    [...onPublicRoute.keys()].filter((name) =>
      name === "x-key" || name === "x-tenant"
    ),
    [],
  );
  const withoutKeys = toMap(codec.encodeAttemptHeaders(raw, ATTEMPT));
  assert.is(withoutKeys.get("x-key"), "secret");
  assert.is(withoutKeys.get("x-trace"), "t1");
});

test("drops reserved headers that callers send and sets its own", () => {
  const reservedHeaders = [
    "X-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Request-Priority",
  ];
  const raw = reservedHeaders.flatMap((name) => [name, "theirs"]);
  const sent = toMap(codec.encodeAttemptHeaders(raw, ATTEMPT));
  assert.not([...sent.values()].includes("theirs"));
  assert.is(sent.get("x-expect-instance"), "i-1");
  assert.is(sent.get("x-deadline-ms"), "812");
  assert.is(sent.get("x-expect-version"), "3");
});

test("forwards the caller's headers unchanged, without hop-by-hop headers", () => {
  const raw = [
    "Host",
    "mill.example",
    "X-Model",
    "m/a3",
    "X-Custom",
    "kept",
    "Connection",
    "keep-alive, X-Hop",
    "X-Hop",
    "1",
    "Transfer-Encoding",
    "chunked",
    "Content-Length",
    "7",
  ];
  const sent = toMap(codec.encodeAttemptHeaders(raw, ATTEMPT));
  assert.is(sent.get("host"), "mill.example");
  assert.is(sent.get("x-model"), "m/a3");
  assert.is(sent.get("x-custom"), "kept");
  const dropped = [
    "connection",
    "x-hop",
    "transfer-encoding",
    "content-length",
  ];
  for (const name of dropped) assert.not(sent.has(name), name);
});

test("sends one Last-Event-Id header for a resumed stream", () => {
  const sent = codec.encodeAttemptHeaders(["Last-Event-Id", "4"], {
    ...ATTEMPT,
    lastEventId: "12",
  });
  const ids = sent.filter((text) => text.toLowerCase() === "last-event-id");
  assert.is(ids.length, 1);
  assert.is(toMap(sent).get("last-event-id"), "12");
});

const RESPONSE_HEAD_ROWS: [string, number, Record<string, string>, object][] = [
  ["a response with a response stamp", 200, {
    "x-request-id": "r1",
    "x-response-stamp": "s",
  }, { isForRequest: true, hasResponseStamp: true, notRunReason: undefined }],
  ["a response without a request id", 200, { "x-response-stamp": "s" }, {
    isForRequest: false,
  }],
  ["a response with another request's id", 200, {
    "x-request-id": "r2",
    "x-response-stamp": "s",
  }, { isForRequest: false }],
  ["a rejection", 503, { "x-not-run": "1" }, {
    isForRequest: true,
    notRunReason: "rejected",
  }],
  [
    "a failed request that ran",
    500,
    { "x-request-id": "r1", "x-response-stamp": "s" },
    { notRunReason: undefined },
  ],
  ["a misdirected request", 421, {}, { notRunReason: "misdirected" }],
  [
    "a response with a content encoding",
    200,
    { "x-request-id": "r1", "content-encoding": "gzip" },
    { hasContentEncoding: true },
  ],
  ["a response with the server's load", 200, {
    "x-request-id": "r1",
    "x-server-load": "3,2,8",
  }, {
    reportedRunning: 5,
    reportedWaiting: 2,
    reportedSlots: 8,
    reportedPace: undefined,
  }],
  ["a response with the server's load and pace", 200, {
    "x-request-id": "r1",
    "x-server-load": "3, 2, 8, 250",
  }, {
    reportedRunning: 5,
    reportedWaiting: 2,
    reportedSlots: 8,
    reportedPace: 2.5,
  }],
  ["a response with neither slots nor a valid pace", 200, {
    "x-request-id": "r1",
    "x-server-load": "3,2,,-4",
  }, {
    reportedRunning: 5,
    reportedSlots: undefined,
    reportedPace: undefined,
  }],
  ["a response without the server's load", 200, { "x-request-id": "r1" }, {
    reportedRunning: undefined,
    reportedPace: undefined,
  }],
];

for (const [name, status, headers, expected] of RESPONSE_HEAD_ROWS) {
  test(`decodes the head of ${name}`, () => {
    const head = codec.decodeResponseHead(status, headers, "r1");
    for (const [field, value] of Object.entries(expected)) {
      assert.is(head[field as keyof typeof head], value, field);
    }
  });
}

for (const status of [408, 421, 429, 503]) {
  for (
    const headers of [{}, { "x-not-run": "1" }, { "x-response-stamp": "s" }]
  ) {
    test(`REFUSED: status ${status} tells callers "not run", with ${JSON.stringify(headers)}`, () => {
      assert.ok(codec.decodeResponseHead(status, headers, "r1").impliesNotRun);
    });
  }
}

for (const status of [200, 400, 404, 409, 425, 500, 502, 504]) {
  test(`status ${status} does not tell callers whether the request has run`, () => {
    assert.not(codec.decodeResponseHead(status, {}, "r1").impliesNotRun);
  });
}

test("encodes Retry-After in fractional seconds", () => {
  assert.equal(codec.encodeRefusalHeaders(350), ["Retry-After", "0.350"]);
  assert.equal(codec.encodeRefusalHeaders(undefined), []);
});

interface NoticeRow {
  name: string;
  status: number;
  headers: Record<string, string>;
  isLeaving: boolean;
  backoffMs: number | undefined;
}

const NOTICE_ROWS: NoticeRow[] = [
  {
    name: "neither leaving nor backoff",
    status: 200,
    headers: {},
    isLeaving: false,
    backoffMs: undefined,
  },
  {
    name: "leaving in a successful response",
    status: 200,
    headers: { "server-leaving": "1" },
    isLeaving: true,
    backoffMs: undefined,
  },
  {
    name: "leaving and backoff in a 503 response",
    status: 503,
    headers: { "server-leaving": "1", "retry-after": "0.25" },
    isLeaving: true,
    backoffMs: 250,
  },
  {
    name: "no backoff for Retry-After in a 500 response",
    status: 500,
    headers: { "retry-after": "2" },
    isLeaving: false,
    backoffMs: undefined,
  },
  ...["", "soon", "-1", "0"].map((text) => ({
    name: `no backoff for Retry-After "${text}"`,
    status: 503,
    headers: { "retry-after": text, "server-leaving": "0" },
    isLeaving: false,
    backoffMs: undefined,
  })),
];

for (const { name, status, headers, isLeaving, backoffMs } of NOTICE_ROWS) {
  test(`decodes a replica's state from response headers: ${name}`, () => {
    const head = codec.decodeResponseHead(status, headers, "r1");
    assert.is(head.isLeaving, isLeaving);
    assert.is(head.backoffMs, backoffMs);
  });
}

test.run();
