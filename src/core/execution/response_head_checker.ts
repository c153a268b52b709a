/**
 * Checks the bytes of a response's head, as RFC 9112 defines them, before they
 * are parsed. Parsers accept more. A strict one takes a second CR for the LF that
 * ends a status line, and overlooks the chunks of a body if a tab follows the name
 * of their coding. A lenient one, which a release or an option of the runtime may
 * bring, joins a line that begins with a blank to the field before it. What is
 * lost so can be the field that frames the body, and the parsed head does not show
 * it any more.
 */
import type { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
/** A version, three digits, and a reason phrase, which is not passed on. */
const STATUS_LINE = /^HTTP\/\d\.\d (\d{3})(?: [^\r]*)?$/;
/** A token, a colon, and a value without control characters but the tab. */
const FIELD_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*$/;
const TRANSFER_ENCODING = /^transfer-encoding:/i;
/** The codings that can be passed on decoded; no request asks for others. */
const DECODABLE_CODING = /^[^:]+:[\t ]*(?:chunked|identity) *$/i;
const STATUS_SWITCHING_PROTOCOLS = 101;
const LOWEST_STATUS = 100;
const LOWEST_FINAL_STATUS = 200;

/** What the next line of the head is. */
const NextLine = { Status: "status", Field: "field" } as const;
type NextLine = (typeof NextLine)[keyof typeof NextLine];

export class ResponseHeadChecker {
  #nextLine: NextLine = NextLine.Status;
  #status = 0;
  #hasTransferCoding = false;
  /** Number of lines that have ended. */
  #lineCount = 0;
  /** Beginning of a line whose end has not arrived. */
  #partialLine = "";
  #isDone = false;

  /** Whether the head has ended: the bytes that follow it are not checked. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /**
   * Checks the bytes that follow those of the earlier calls.
   * @returns the fault of the head; undefined if there is none so far.
   */
  check(input: Buffer): string | undefined {
    let start = 0;
    while (!this.#isDone && start < input.length) {
      const end = input.indexOf(LINE_FEED, start);
      if (end < 0) {
        // The parser bounds the length of the head.
        this.#partialLine += input.toString("latin1", start);
        return undefined;
      }
      const line = this.#partialLine + input.toString("latin1", start, end);
      this.#partialLine = "";
      const fault = this.#checkLine(line);
      if (fault !== undefined) return fault;
      start = end + 1;
    }
    return undefined;
  }

  /** @param line without its line feed. */
  #checkLine(line: string): string | undefined {
    // Empty lines before a status line belong to no head.
    const isSkipped = this.#nextLine === NextLine.Status &&
      (line === "\r" || line === "");
    if (isSkipped) return undefined;
    this.#lineCount += 1;
    if (!line.endsWith("\r")) return this.#describeFault("CR LF", line);
    const content = line.slice(0, -1);
    switch (this.#nextLine) {
      case NextLine.Status:
        return this.#checkStatusLine(content);
      case NextLine.Field:
        if (content !== "") return this.#checkField(content);
        this.#endHead();
        return undefined;
    }
  }

  #checkStatusLine(content: string): string | undefined {
    const status = STATUS_LINE.exec(content)?.[1];
    if (status === undefined) {
      return this.#describeFault("a status line", content);
    }
    this.#status = Number(status);
    if (this.#status < LOWEST_STATUS) {
      return this.#describeFault(`a status from ${LOWEST_STATUS}`, content);
    }
    this.#hasTransferCoding = false;
    this.#nextLine = NextLine.Field;
    return undefined;
  }

  #checkField(content: string): string | undefined {
    if (!FIELD_LINE.test(content)) {
      return this.#describeFault("a header field", content);
    }
    if (!TRANSFER_ENCODING.test(content)) return undefined;
    if (this.#hasTransferCoding || !DECODABLE_CODING.test(content)) {
      return this.#describeFault("one transfer coding, chunked", content);
    }
    this.#hasTransferCoding = true;
    return undefined;
  }

  /** Another head follows an interim one. */
  #endHead(): void {
    const isInterim = this.#status < LOWEST_FINAL_STATUS &&
      this.#status !== STATUS_SWITCHING_PROTOCOLS;
    if (isInterim) this.#nextLine = NextLine.Status;
    else this.#isDone = true;
  }

  /** The caller is told the fault: it repeats nothing of the head. */
  #describeFault(expected: string, line: string): string {
    return `expected ${expected} in line ${this.#lineCount} of the head of the answer, actual ${line.length} other characters`;
  }
}
