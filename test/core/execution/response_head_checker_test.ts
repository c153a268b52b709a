/**
 * Heads that a lenient parser accepts although RFC 9112 does not, and sound
 * heads, in pieces of every size.
 */
import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResponseHeadChecker } from "../../../src/core/execution/response_head_checker.ts";

/** Feeds the text in pieces; returns the fault and whether the head has ended. */
function checkPieces(
  text: string,
  pieceBytes: number,
): { fault: string | undefined; isDone: boolean } {
  const checker = new ResponseHeadChecker();
  const bytes = Buffer.from(text, "latin1");
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    const fault = checker.check(bytes.subarray(start, start + pieceBytes));
    if (fault !== undefined) return { fault, isDone: checker.isDone };
  }
  return { fault: undefined, isDone: checker.isDone };
}

function listPieceSizes(text: string): number[] {
  return Array.from({ length: text.length }, (_, index) => index + 1);
}

const SOUND = [
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
  "HTTP/1.0 503 \r\n\r\n",
  "HTTP/1.1 204\r\n\r\n",
  "\r\n\r\nHTTP/1.1 200 OK\r\nA:b\r\n\r\n",
  "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \t\x80\xff~ \r\nEmpty:\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding:\t Chunked  \r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding:identity\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Transfer-Encoding: gzip\r\nTransfer-Encodings: br\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n",
];

for (const head of SOUND) {
  test(`a sound head is rejected: ${JSON.stringify(head)}`, () => {
    // What follows a head is not checked.
    const text = `${head}X Y\n: \0`;
    for (const pieceBytes of listPieceSizes(text)) {
      const { fault, isDone } = checkPieces(text, pieceBytes);
      assert.is(fault, undefined);
      assert.ok(isDone);
    }
    const { isDone } = checkPieces(head.slice(0, -1), 1);
    assert.not.ok(isDone, "a head without its last byte has not ended");
  });
}

const BROKEN_LINES = [
  "X Load: 1",
  "X-Load : 1",
  " X-Load: 1",
  "\tContent-Length: 9",
  "X-Load",
  ": 1",
  " ",
  "X\nLoad: 1",
  "X\rLoad: 1",
  "\nX-Load: 1",
  "\rX-Load: 1",
  "X-Load: 1\n",
  "X-Load: 1\r",
  "X-Load: a\0b",
  "X-Load: a\x7fb",
  "Transfer-Encoding: chunked\t",
  "transfer-encoding:chunked,",
  "TRANSFER-ENCODING: gzip, chunked",
  "Transfer-Encoding:",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
];

for (const status of ["000", "001", "042", "099"]) {
  test(`a status below 100 becomes that of an answer: ${status}`, () => {
    for (const interim of ["", "HTTP/1.1 100 Continue\r\n\r\n"]) {
      const text = `${interim}HTTP/1.1 ${status} OK\r\nA: b\r\n\r\n`;
      for (const pieceBytes of listPieceSizes(text)) {
        const { fault, isDone } = checkPieces(text, pieceBytes);
        assert.type(fault, "string");
        assert.not.ok(isDone);
      }
    }
  });
}

for (const line of BROKEN_LINES) {
  test(`a head becomes an answer although it has a broken line: ${JSON.stringify(line)}`, () => {
    for (
      const text of [
        `HTTP/1.1 200 OK\r\n${line}\r\nA: b\r\n\r\n`,
        `HTTP/1.1 200 OK\r\nA: b\r\n${line}\r\n\r\n`,
        `HTTP/1.1 103 Early Hints\r\nA: b\r\n${line}\r\n\r\nHTTP/1.1 200 OK\r\n\r\n`,
      ]
    ) {
      for (const pieceBytes of listPieceSizes(text)) {
        const { fault, isDone } = checkPieces(text, pieceBytes);
        assert.type(fault, "string", JSON.stringify(text));
        assert.not.ok(isDone);
      }
    }
  });
}

test("a name holds a byte that is no token", () => {
  const token = /[!#$%&'*+\-.^_`|~0-9A-Za-z:]/;
  for (let byte = 0; byte < 256; byte += 1) {
    const character = String.fromCharCode(byte);
    const isSound = token.test(character);
    for (const name of [`${character}AB`, `A${character}B`, `AB${character}`]) {
      // A colon ends a name, which must not be empty.
      const isAccepted = isSound && !name.startsWith(":");
      const text = `HTTP/1.1 200 OK\r\n${name}: 1\r\n\r\n`;
      const { fault } = checkPieces(text, text.length);
      assert.is(fault === undefined, isAccepted, JSON.stringify(name));
    }
  }
});

for (
  const line of [
    "ICY 200 OK",
    "HTTP/1.1 200 OK\rContent-Length: 2",
    "HTTP/1.1 200 OK\r",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "200",
  ]
) {
  test(`a head becomes an answer without a status line: ${JSON.stringify(line)}`, () => {
    const { fault } = checkPieces(`${line}\r\n\r\n`, 1);
    assert.type(fault, "string");
  });
}

test("a fault repeats a line of the head", () => {
  for (const line of ["X Load: 1", "x ".repeat(5_000)]) {
    const { fault } = checkPieces(`HTTP/1.1 200 OK\r\nA: b\r\n${line}\r\n`, 9);
    assert.is(
      fault,
      "expected a header field in line 3 of the head of the answer, " +
        `actual ${line.length} other characters`,
    );
  }
});

test.run();
