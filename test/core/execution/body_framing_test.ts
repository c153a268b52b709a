/** Which responses end with their connection. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  BodyFraming,
  classifyFraming,
  isChunkedCoding,
} from "../../../src/core/execution/body_framing.ts";

const UNFRAMED = {
  method: "POST",
  status: 200,
  hasContentLength: false,
  isChunked: false,
};

test("a body without length or chunks ends with its connection", () => {
  assert.is(classifyFraming(UNFRAMED), BodyFraming.Close);
});

test("chunks take precedence over a length", () => {
  const length = { ...UNFRAMED, hasContentLength: true };
  assert.is(classifyFraming(length), BodyFraming.Length);
  assert.is(
    classifyFraming({ ...length, isChunked: true }),
    BodyFraming.Chunked,
  );
});

test("only chunked as the final transfer coding marks the end of a body", () => {
  for (const coding of ["chunked", "gzip, chunked", "gzip,Chunked "]) {
    assert.ok(isChunkedCoding(coding), coding);
  }
  for (const coding of ["", "identity", "gzip", "chunked, gzip", "xchunked"]) {
    assert.not.ok(isChunkedCoding(coding), coding);
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
