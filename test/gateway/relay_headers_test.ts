/** Headers between a gateway and the peer that relayed a request to it. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodeRelayUpstream,
  decodeRelayVerdict,
  encodeRelayUpstream,
  encodeRelayVerdict,
  RelayVerdict,
  stripRelayHeaders,
} from "../../src/gateway/relay_headers.ts";

function toHeaders(rawHeaders: string[]): Record<string, string> {
  const [name = "", value = ""] = rawHeaders;
  return { [name.toLowerCase()]: value };
}

test("verdicts and upstreams are read as they were written", () => {
  for (const verdict of Object.values(RelayVerdict)) {
    assert.is(
      decodeRelayVerdict(toHeaders(encodeRelayVerdict(verdict))),
      verdict,
    );
  }
  assert.is(decodeRelayUpstream(toHeaders(encodeRelayUpstream("i-1"))), "i-1");
  assert.is(decodeRelayVerdict({ "x-relay-verdict": "other" }), undefined);
  assert.is(decodeRelayVerdict({}), undefined);
});

test("headers of these names that an upstream sends are stripped, whatever their case", () => {
  assert.equal(
    stripRelayHeaders(
      [
        "A",
        "1",
        "X-Relay-Verdict",
        "unable",
        "x-RELAY-upstream",
        "x",
        "B",
        "2",
      ],
    ),
    ["A", "1", "B", "2"],
  );
});

test.run();
