/**
 * Guards against tables that go back to an older revision, and answers that mix
 * revisions, when the configuration service is down, answers with stale
 * revisions or is edited during requests.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";

const TOKENS = 10;
const EDITS = 8;
const test = suite("configuration");
let site: Site;
let first = "";
let second = "";

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 2, engines: 2 }],
    tokens: TOKENS,
    slots: 4,
  });
  [first = "", second = ""] = ["entry-hobart-a-1", "entry-hobart-a-2"];
  await site.startFakes();
});

test.after(async () => await site.stop());

async function expectVersion(daemon: string, version: string): Promise<void> {
  const answer = await site.call(daemon, "adapter-0");
  assert.ok(
    isExactAnswer(answer, `adapter-0@${version}`, TOKENS),
    describeAnswer(answer),
  );
}

test("a daemon that starts while the service is down serves once it recovers", async () => {
  site.configuration.setDown(true);
  await site.fleet.startDaemon(first);
  await waitUntil(
    "the daemon has tried to read",
    async () =>
      await site.fleet.getCounter(first, "platform_unread.readTables") > 0,
  );
  const refused = await site.call(first, "adapter-0");
  assert.is(refused.refusal?.outcome, "notRun", describeAnswer(refused));
  site.configuration.setDown(false);
  await site.fleet.waitUntilServing([first]);
  await expectVersion(first, "v1");
});

test("a daemon that starts while the service is down gets the tables from its peer", async () => {
  site.configuration.setDown(true);
  await site.fleet.startDaemon(second);
  await site.fleet.waitUntilServing([second]);
  await expectVersion(second, "v1");
  await expectVersion(first, "v1");
  site.configuration.setDown(false);
});

test("a daemon restarted while the service is stale serves the newer revision of its peer", async () => {
  const oldRevision = (await site.fleet.getStatus(first)).tablesRevision;
  const revision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v2"),
  );
  await site.waitUntilInForce(revision);
  site.configuration.faults.staleAtRevision = oldRevision;
  site.fleet.signal(second, "SIGKILL");
  await site.fleet.waitForExit(second);
  await site.fleet.startDaemon(second);
  await site.fleet.waitUntilServing([second]);
  assert.is((await site.fleet.getStatus(second)).tablesRevision, revision);
  await expectVersion(second, "v2");
  await expectVersion(first, "v2");
  assert.is(site.countRuns("adapter-0@v1"), 3, "v1 never runs again");
  site.configuration.faults.staleAtRevision = 0;
});

test("an invalid revision does not replace the revision in force", async () => {
  await site.fleet.writeTable("routes", "routes: [{name: 1}]");
  await waitUntil(
    "the revision is rejected",
    async () => await site.fleet.getCounter(first, "tables.invalid") > 0,
  );
  await expectVersion(first, "v2");
  const revision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v2"),
  );
  await site.waitUntilInForce(revision);
});

test("each answer names the adapter version of the revision it was accepted under", async () => {
  const versions = new Map<number, string>();
  const { tablesRevision } = await site.fleet.getStatus(first);
  versions.set(tablesRevision, "v2");
  let isEditing = true;
  let answers = 0;
  const callers = Array.from({ length: 6 }, async (_, index) => {
    for (let round = 0; isEditing; round += 1) {
      const daemon = round % 2 === 0 ? first : second;
      const adapter = `adapter-${(index + round) % 2}`;
      const answer = await site.call(daemon, adapter);
      const revision = Number(answer.headers.get("x-tables-revision"));
      await waitUntil(
        "the edit is recorded",
        () => Promise.resolve(versions.has(revision) || !isEditing),
      );
      const version = versions.get(revision);
      assert.ok(
        isExactAnswer(answer, `${adapter}@${version}`, TOKENS),
        `${version} at ${revision}: ${describeAnswer(answer)}`,
      );
      answers += 1;
    }
  });
  const running = Promise.all(callers);
  for (let edit = 1; edit <= EDITS; edit += 1) {
    const version = `v${edit + 2}`;
    const expected = answers + callers.length;
    const revision = await site.fleet.writeTable(
      "routes",
      site.formatRoutes(version),
    );
    versions.set(revision, version);
    // Waits for some answers under this revision before the next edit.
    await Promise.race([
      running,
      waitUntil(
        "more answers arrive",
        () => Promise.resolve(answers >= expected),
      ),
    ]);
  }
  isEditing = false;
  await running;
  const finalStatus = await site.fleet.getStatus(first);
  assert.is(finalStatus.tablesRevision, Math.max(...versions.keys()));
  assert.is(site.countEvictionsInUse(), 0);
});

test.run();
