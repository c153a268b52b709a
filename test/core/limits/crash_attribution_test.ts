/**
 * Attribution of crashes to prompt parts. The load pattern: several hosts run
 * requests that share a first part; some of them hold a part that crashes each
 * engine, and each host sees only its own requests.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CrashAttribution,
  type CrashDigest,
} from "../../../src/core/limits/crash_attribution.ts";

/** Hold before the first trial, and the bound on its repetition. */
const TRIAL_INTERVAL_MS = 20_000;

function createHosts(count: number): CrashAttribution[] {
  return Array.from({ length: count }, (_, index) =>
    new CrashAttribution({
      getTrialDelayMs: () => 2_000 * index,
    }));
}

/** Exchanges what the hosts know, through the form that messages have. */
function exchangeDigests(hosts: readonly CrashAttribution[], now: number) {
  for (const sender of hosts) {
    const digest = sender.getDigest(now);
    if (!digest) continue;
    const text = JSON.stringify(digest);
    for (const receiver of hosts) {
      if (receiver !== sender) {
        receiver.mergeDigest(JSON.parse(text) as CrashDigest, now);
      }
    }
  }
}

function isRefused(host: CrashAttribution, traits: string[], now: number) {
  return host.decideAdmission(traits, now).kind === "refused";
}

test("BUDGET: requests that share one crashing part are refused at all hosts after two crashes that two hosts saw", () => {
  const hosts = createHosts(3);
  const [a, b, c] = hosts as [
    CrashAttribution,
    CrashAttribution,
    CrashAttribution,
  ];
  a.recordOutput(["first", "session-1"], 1_000);
  a.recordCrash("e1", {
    traits: ["first", "deadly", "session-2"],
    hasResponseHead: true,
    runMs: 100,
  }, 2_000);
  exchangeDigests(hosts, 2_050);
  assert.not.ok(isRefused(c, ["first", "deadly", "session-3"], 2_060));
  b.recordCrash("e2", {
    traits: ["first", "deadly", "session-4"],
    hasResponseHead: true,
    runMs: 100,
  }, 3_000);
  exchangeDigests(hosts, 3_050);
  for (const host of hosts) {
    assert.ok(isRefused(host, ["first", "deadly", "session-5"], 3_060));
    for (const session of ["session-2", "session-4", "session-6"]) {
      assert.not.ok(isRefused(host, ["first", session], 3_060), session);
    }
  }
});

test("a part that was in every crash is not blamed while runs with it produce output", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (let crash = 0; crash < 12; crash += 1) {
    const now = 1_000 * (crash + 1);
    host.recordOutput(["first"], now - 10);
    host.recordCrash(`e${crash}`, {
      traits: ["first", `session-${crash}`],
      hasResponseHead: true,
      runMs: 100,
    }, now);
    assert.not.ok(isRefused(host, ["first", "session-x"], now + 1));
  }
});

test("a part that was sound before and then crashes upstreams is refused after four crashes", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  host.recordOutput(["turned"], 500);
  for (let crash = 1; crash <= 4; crash += 1) {
    const now = 1_000 * crash;
    assert.not.ok(isRefused(host, ["turned"], now - 1), `crash ${crash}`);
    host.recordCrash(
      `e${crash}`,
      { traits: ["turned"], hasResponseHead: true, runMs: 100 },
      now,
    );
  }
  assert.ok(isRefused(host, ["turned"], 4_001));
});

test("without response heads, the part that is in three separate crashes is refused, its neighbours are not", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (let crash = 1; crash <= 3; crash += 1) {
    const now = 1_000 * crash;
    for (const session of [`deadly`, `x${crash}`, `y${crash}`]) {
      host.recordCrash(
        `e${crash}`,
        { traits: ["first", session], hasResponseHead: false, runMs: 100 },
        now,
      );
    }
    host.recordOutput(["first", "other"], now + 100);
  }
  assert.ok(isRefused(host, ["first", "deadly"], 3_200));
  assert.not.ok(isRefused(host, ["first", "x3"], 3_200));
});

test("upstreams that crash at the same moment count once against requests without a response head", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (let engine = 0; engine < 9; engine += 1) {
    host.recordCrash(
      `e${engine}`,
      { traits: ["session"], hasResponseHead: false, runMs: 100 },
      1_000 + engine,
    );
  }
  assert.not.ok(isRefused(host, ["session"], 1_100));
});

test("a request that is sent after each crash is refused after three, however fast they follow", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (let crash = 0; crash < 3; crash += 1) {
    const now = 1_000 + 10 * crash;
    assert.not.ok(isRefused(host, ["request"], now - 5));
    host.recordCrash(`e${crash}`, {
      traits: ["request"],
      hasResponseHead: false,
      runMs: 4,
    }, now);
  }
  assert.ok(isRefused(host, ["request"], 1_021));
});

test("several reports of one crash count once", () => {
  const hosts = createHosts(4);
  for (const host of hosts) {
    host.recordCrash(
      "e1",
      { traits: ["session"], hasResponseHead: true, runMs: 100 },
      1_000,
    );
  }
  exchangeDigests(hosts, 1_050);
  exchangeDigests(hosts, 1_100);
  assert.ok(hosts.every((host) => !isRefused(host, ["session"], 1_110)));
});

test("of two parts that were in the same crashes, a request with one of them shows which is to blame", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (const [id, now] of [["e1", 1_000], ["e2", 2_000]] as const) {
    host.recordCrash(id, {
      traits: ["deadly", "session"],
      hasResponseHead: true,
      runMs: 100,
    }, now);
  }
  assert.ok(isRefused(host, ["deadly", "session"], 2_010));
  assert.ok(host.isConvicted(["deadly", "session"], 2_010));
  assert.not.ok(host.isConvicted(["session"], 2_010));
  const trial = host.decideAdmission(["session"], 2_020);
  assert.equal(trial, { kind: "trial", traits: ["session"] });
  assert.ok(isRefused(host, ["session"], 2_030), "one trial at a time");
  assert.ok(host.recordOutput(["session"], 2_100));
  host.endTrial(["session"]);
  assert.not.ok(isRefused(host, ["session"], 2_110));
  assert.ok(isRefused(host, ["deadly"], 2_110));
  assert.ok(host.isConvicted(["deadly", "session"], 2_110));
  assert.not.ok(host.isConvicted(["session"], 2_110));
});

test("hosts that could tell two suspect parts apart try one after the other", () => {
  const hosts = createHosts(3);
  const [first, second, third] = hosts as [
    CrashAttribution,
    CrashAttribution,
    CrashAttribution,
  ];
  for (const [id, now] of [["e1", 1_000], ["e2", 2_000]] as const) {
    first.recordCrash(id, {
      traits: ["deadly", "request"],
      hasResponseHead: true,
      runMs: 100,
    }, now);
  }
  exchangeDigests(hosts, 2_050);
  assert.is(first.decideAdmission(["deadly"], 2_100).kind, "trial");
  assert.ok(isRefused(second, ["deadly"], 2_100));
  assert.ok(isRefused(third, ["deadly"], 2_100));
  first.recordCrash(
    "e3",
    { traits: ["deadly"], hasResponseHead: true, runMs: 100 },
    2_500,
  );
  exchangeDigests(hosts, 2_550);
  assert.ok(isRefused(second, ["deadly"], 4_100));
  assert.not.ok(isRefused(third, ["request"], 2_600));
});

test("a conviction that a later crash contradicts is dropped", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (const [id, now] of [["e1", 1_000], ["e2", 2_000]] as const) {
    host.recordCrash(id, {
      traits: ["deadly", "session"],
      hasResponseHead: true,
      runMs: 100,
    }, now);
  }
  host.recordCrash(
    "e3",
    { traits: ["deadly"], hasResponseHead: true, runMs: 100 },
    3_000,
  );
  assert.not.ok(isRefused(host, ["session"], 3_010));
  assert.ok(isRefused(host, ["deadly"], 3_010));
});

test("hosts try a convicted part one after the other, and each crash doubles the time to the next trial", () => {
  const hosts = createHosts(2);
  const [first, second] = hosts as [CrashAttribution, CrashAttribution];
  for (const [id, now] of [["e1", 0], ["e2", 1_000]] as const) {
    first.recordCrash(id, {
      traits: ["deadly"],
      hasResponseHead: true,
      runMs: 100,
    }, now);
  }
  exchangeDigests(hosts, 1_050);
  const trialAt = 1_000 + TRIAL_INTERVAL_MS;
  assert.ok(isRefused(first, ["deadly"], trialAt - 1));
  assert.ok(isRefused(second, ["deadly"], trialAt + 1));
  assert.is(first.decideAdmission(["deadly"], trialAt + 1).kind, "trial");
  assert.ok(isRefused(first, ["deadly"], trialAt + 2));
  first.recordCrash(
    "e3",
    { traits: ["deadly"], hasResponseHead: true, runMs: 100 },
    trialAt + 500,
  );
  first.endTrial(["deadly"]);
  exchangeDigests(hosts, trialAt + 550);
  for (const host of hosts) {
    const nextAt = trialAt + 500 + 2 * TRIAL_INTERVAL_MS;
    assert.ok(isRefused(host, ["deadly"], nextAt - 1));
  }
});

test("a convicted part whose trial produces output is admitted at all hosts", () => {
  const hosts = createHosts(2);
  const [first, second] = hosts as [CrashAttribution, CrashAttribution];
  for (const [id, now] of [["e1", 0], ["e2", 1_000]] as const) {
    first.recordCrash(id, {
      traits: ["unlucky"],
      hasResponseHead: true,
      runMs: 100,
    }, now);
  }
  exchangeDigests(hosts, 1_050);
  assert.ok(isRefused(second, ["unlucky"], 1_100));
  first.recordOutput(["unlucky"], 30_000);
  exchangeDigests(hosts, 30_050);
  assert.ok(hosts.every((host) => !isRefused(host, ["unlucky"], 30_060)));
});

test("a host that has just started learns from one digest which parts are refused", () => {
  const [known, started] = createHosts(2) as [
    CrashAttribution,
    CrashAttribution,
  ];
  for (let crash = 0; crash < 5; crash += 1) {
    known.recordCrash(
      `e${crash}`,
      {
        traits: ["deadly", `session-${crash}`],
        hasResponseHead: true,
        runMs: 100,
      },
      1_000 * crash,
    );
  }
  // Crashes without a common trait come later and are more than a digest holds.
  for (let crash = 0; crash < 20; crash += 1) {
    known.recordCrash(
      `later-${crash}`,
      { traits: [`other-${crash}`], hasResponseHead: true, runMs: 100 },
      6_000 + 500 * crash,
    );
  }
  const digest = known.getDigest(17_000);
  assert.ok(digest);
  started.mergeDigest(digest as CrashDigest, 17_010);
  assert.ok(isRefused(started, ["deadly"], 17_020));
  // It waits as long as the hosts that saw all five crashes.
  assert.ok(isRefused(started, ["deadly"], 4_000 + 7 * TRIAL_INTERVAL_MS));
});

test("a host that has just started learns of a part that is convicted without response heads", () => {
  const [known, started] = createHosts(2) as [
    CrashAttribution,
    CrashAttribution,
  ];
  for (let crash = 0; crash < 3; crash += 1) {
    known.recordCrash(`e${crash}`, {
      traits: ["deadly"],
      hasResponseHead: false,
      runMs: 3.4,
    }, 1_000.4 + 6.1 * crash);
  }
  started.mergeDigest(known.getDigest(2_000) as CrashDigest, 2_010);
  assert.ok(isRefused(started, ["deadly"], 2_020));
});

test("crashes that convict a part are kept when many others follow", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  const suspect = { hasResponseHead: true, runMs: 100 };
  for (const now of [0, 1_000]) {
    host.recordCrash(`e${now}`, { ...suspect, traits: ["deadly"] }, now);
  }
  for (let crash = 0; crash < 200; crash += 1) {
    const traits = [`other-${crash}`];
    host.recordCrash(`o${crash}`, { ...suspect, traits }, 2_000 + crash);
  }
  assert.ok(isRefused(host, ["deadly"], 3_000));
});

test("peers are told with each digest while there is news, then every few seconds", () => {
  const hosts = createHosts(2);
  const [first, second] = hosts as [CrashAttribution, CrashAttribution];
  assert.not.ok(first.needsDigest(Number.NEGATIVE_INFINITY, 900));
  first.recordCrash(
    "e1",
    { traits: ["part"], hasResponseHead: true, runMs: 100 },
    1_000,
  );
  assert.ok(first.needsDigest(1_400, 1_500));
  exchangeDigests(hosts, 2_500);
  assert.ok(second.needsDigest(5_000, 5_100), "passes it on");
  exchangeDigests(hosts, 5_200);
  assert.not.ok(first.needsDigest(5_000, 5_500));
  assert.not.ok(second.needsDigest(5_000, 6_000), "it is no news any more");
  assert.ok(first.needsDigest(5_000, 8_100), "it may have been lost");
});

test("a digest stays within its share of a datagram, whatever has crashed", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  for (let crash = 0; crash < 200; crash += 1) {
    for (let request = 0; request < 20; request += 1) {
      const traits = ["first", `s${request}`, `t${crash}`]
        .map((part) => `service/${part.padEnd(12, "0")}`);
      host.recordCrash(`i-0123456789.${crash}`, {
        traits,
        hasResponseHead: request % 2 === 0,
        runMs: 100,
      }, 10 * crash);
    }
  }
  const bytes = JSON.stringify(host.getDigest(2_000)).length;
  assert.ok(bytes <= 1_000, `${bytes} bytes`);
});

test("a request with a likely suspect is not repeated, one with sound parts is", () => {
  const [host] = createHosts(1) as [CrashAttribution];
  host.recordOutput(["first", "sound"], 900);
  host.recordCrash("e1", {
    traits: ["first", "deadly"],
    hasResponseHead: true,
    runMs: 100,
  }, 1_000);
  host.recordCrash("e1", {
    traits: ["first", "sound"],
    hasResponseHead: true,
    runMs: 100,
  }, 1_001);
  assert.ok(host.isSuspect(["first", "deadly"], 1_010));
  assert.not.ok(host.isSuspect(["first", "sound"], 1_010));
});

test.run();
