/**
 * Guards against a load tool that miscounts requests, tokens, outcomes or
 * refusals.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LoadGenerator } from "../../scripts/load/load_generator.ts";
import { Site } from "../../scripts/site.ts";

const TOKENS = 5;
const test = suite("load");
let site: Site;

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 1, engines: 1 }],
    tokens: TOKENS,
  });
  await site.start();
});

test.after(async () => await site.stop());

async function runLoad(
  routes: readonly string[],
  maxInFlight = 100,
): ReturnType<LoadGenerator["run"]> {
  const addresses = site.daemonIds.map((id) =>
    site.fleet.getDaemon(id).callers
  );
  return await new LoadGenerator({
    addresses,
    token: site.token,
    routes,
    zipf: 1,
    rate: 40,
    seconds: 1,
    maxInFlight,
    seed: 7,
  }).run();
}

test("all requests are answered and their latencies recorded", async () => {
  const report = (await runLoad(["adapter-0", "adapter-1"])).describe();
  assert.ok(report.sent > 10);
  assert.is(report.notSent, 0);
  assert.equal(report.outcomes, { completed: report.sent });
  assert.equal(report.refusals, {});
  assert.is(report.firstToken.count, report.sent);
  assert.ok(report.betweenTokens.count > 0);
});

test("refusals are counted by reason", async () => {
  const report = (await runLoad(["no-such-route"])).describe();
  assert.equal(report.refusals, { unknownRoute: report.sent });
  assert.equal(report.outcomes, { notRun: report.sent });
  assert.is(report.firstToken.count, 0);
});

test("requests beyond the maximum in flight are not sent", async () => {
  const report = (await runLoad(["adapter-0"], 1)).describe();
  assert.ok(report.notSent > 0);
  assert.equal(report.outcomes, { completed: report.sent });
});

test.run();
