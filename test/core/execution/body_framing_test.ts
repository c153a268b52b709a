/** Which responses end with their connection. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  BodyFraming,
  classifyFraming,
} from "../../../src/core/execution/body_framing.ts";

const UNFRAMED = {
  method: "POST",
  status: 200,
  hasContentLength: false,
  transferEncoding: undefined,
};

test("a body without length or chunks ends with its connection", () => {
  assert.is(classifyFraming(UNFRAMED), BodyFraming.Close);
});

test("chunks take precedence over a length", () => {
  const length = { ...UNFRAMED, hasContentLength: true };
  assert.is(classifyFraming(length), BodyFraming.Length);
  assert.is(
    classifyFraming({ ...length, transferEncoding: "chunked" }),
    BodyFraming.Chunked,
  );
});

test("only chunked as the final transfer coding marks the end of a body", () => {
  const length = { ...UNFRAMED, hasContentLength: true };
  for (
    const transferEncoding of ["chunked", "gzip, chunked", "gzip,Chunked "]
  ) {
    const framing = classifyFraming({ ...length, transferEncoding });
    assert.is(framing, BodyFraming.Chunked, transferEncoding);
  }
  for (
    const transferEncoding of [
      "",
      "identity",
      "gzip",
      "chunked, gzip",
      "xchunked",
    ]
  ) {
    const framing = classifyFraming({ ...length, transferEncoding });
    assert.is(framing, BodyFraming.Close, transferEncoding);
  }
});

test("a response to HEAD, and statuses 204 and 304, have no body", () => {
  const none = [{ method: "HEAD" }, { status: 204 }, { status: 304 }];
  for (const fields of none) {
    const framing = classifyFraming({ ...UNFRAMED, ...fields });
    assert.is(framing, BodyFraming.None);
  }
});

test.run();
