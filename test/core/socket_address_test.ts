/** Which addresses of other processes are used. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  isIpAddress,
  isSocketAddress,
  parseSocketAddress,
} from "../../src/core/socket_address.ts";

const VALID = [
  "10.1.2.3:8080",
  "127.0.0.1:1",
  "223.1.1.254:65535",
  "[::1]:80",
  "[fe80::1]:8080",
];
const INVALID = [
  "10.1.2.3:0",
  "10.1.2.3:70000",
  "10.1.2.3:65536",
  "10.1.2.3:080",
  "10.1.2.3:8e1",
  "10.1.2.3:+80",
  "10.1.2.3:-1",
  "10.1.2.3:",
  "10.1.2.3",
  "999.1.1.1:80",
  "10.1.2.256:80",
  "10.1.2:80",
  "010.1.2.3:80",
  "0.0.0.0:80",
  "0.1.2.3:80",
  "224.0.0.1:80",
  "240.0.0.1:80",
  "255.255.255.255:80",
  "[::]:80",
  "[ff02::1]:80",
  "::1:80",
  "host.example:80",
  "somewhere",
  " 10.1.2.3:80",
  "10.1.2.3:80\r\n",
  "",
];

for (const text of VALID) {
  test(`${text} is an address`, () => {
    assert.ok(isSocketAddress(text));
  });
}

for (const text of INVALID) {
  test(`${JSON.stringify(text)} is no address`, () => {
    assert.not.ok(isSocketAddress(text));
  });
}

test("an address is split into host and port, without the brackets of IPv6", () => {
  assert.equal(parseSocketAddress("10.1.2.3:80"), {
    host: "10.1.2.3",
    port: 80,
  });
  assert.equal(parseSocketAddress("[::1]:8080"), { host: "::1", port: 8080 });
});

test("a host alone is an IP address of one machine", () => {
  assert.ok(isIpAddress("10.1.2.3"));
  for (const text of ["999.1.1.1", "0.0.0.0", "localhost", ""]) {
    assert.not.ok(isIpAddress(text), text);
  }
});

test.run();
