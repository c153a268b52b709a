/**
 * Guards against refusals with 401 and 429 whose log lines do not tell why, and
 * against keys in the log: `explain-request` reads what a gateway prints.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  explainRefusals,
  type LogRecord,
  parseLogLine,
} from "../../src/cli/request_trace.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Longer than the interval at which a gateway prints its lines. */
const LOG_MS = 500;

process.env["GATEWAY_LOG"] = "info";
const harness = new GatewayHarness();
const { stdout } = process;
const write = stdout.write.bind(stdout);
let printed = "";

test.before(async () => {
  stdout.write = ((chunk: string) => {
    printed += chunk;
    return true;
  }) as typeof stdout.write;
  harness.tenants = [{
    name: "mill",
    api_keys: ["key-held"],
    unit: "tokens",
    plain_tokens: 200,
    rate_per_s: 100,
    burst: 100,
  }];
  await harness.start({ gateways: 1, engines: 0, services: 1 });
});
test.after(async () => {
  await harness.stop();
  stdout.write = write;
});

async function explain(id: string): Promise<string> {
  await waitMs(LOG_MS);
  const records = printed.split("\n")
    .flatMap((line): LogRecord[] => {
      const record = parseLogLine(line);
      return record ? [record] : [];
    });
  return explainRefusals(records, id).join("\n");
}

test("a 401 is explained by the key that no customer holds, and its configuration", async () => {
  const headers = { "X-Key": "key-unheld" };
  assert.is((await harness.call("/safe/1", { id: "r1", headers })).status, 401);
  assert.match(
    await explain("r1"),
    /^host-0 answered 401: no customer holds its key by configuration \d+, in force there since 2\S+Z$/,
  );
});

test("a 401 is explained by the key that is missing", async () => {
  assert.is((await harness.call("/safe/1", { id: "r2" })).status, 401);
  assert.match(await explain("r2"), "it has no key, or an empty one,");
});

test("a 429 is explained by the customer's limit, and its configuration", async () => {
  const headers = { "X-Key": "key-held", "X-Token-Counts": "4000,1000" };
  let status = 200;
  let id = "";
  for (let call = 0; call < 20 && status !== 429; call += 1) {
    id = `over-${call}`;
    ({ status } = await harness.call("/safe/1", { id, headers }));
  }
  assert.is(status, 429);
  assert.match(
    await explain(id),
    /^host-0 answered 429: customer mill has used its quota of 100 tokens per second, burst 100, and the request costs 5000, by configuration \d+, in force/,
  );
});

test("no line has a key", async () => {
  await waitMs(LOG_MS);
  assert.match(printed, "requestDecision");
  assert.not.match(printed, /key-(held|unheld)/);
});

test.run();
