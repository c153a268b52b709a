/**
 * The published configuration, upstreams and adapter versions: an older version
 * never replaces a newer one, and entries that lapse in an outage are kept for
 * a grace period.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ChangeOrigin,
  LAPSE_GRACE_MS,
  type PublishedConfiguration,
  type PublishedRoute,
  type PublishedUpstream,
  PublishedView,
} from "../../../src/core/view/published_view.ts";
import { LOWER_VERSION_DELAY_MS } from "../../../src/core/view/configuration_order.ts";

const LIVE: ChangeOrigin = {
  position: { era: 0, revision: 1 },
  contentHash: 0,
  isAfterOutage: false,
  isRestored: false,
};
const AFTER_OUTAGE: ChangeOrigin = { ...LIVE, isAfterOutage: true };
const RESTORED: ChangeOrigin = {
  ...LIVE,
  position: { era: 1, revision: 1 },
  isRestored: true,
};

function createRoute(part: Partial<PublishedRoute>): PublishedRoute {
  return {
    name: "r",
    hostName: "Mill.example",
    pathPrefix: "/plans/",
    repeatability: "idempotent",
    isResumable: false,
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    interTokenObjectiveMs: 0,
    priorityRank: 1,
    maxAttempts: 2,
    isPublic: false,
    targets: [{ service: "plain", weight: 1 }],
    ...part,
  };
}

function createConfiguration(
  version: number,
  routes: PublishedRoute[],
): PublishedConfiguration {
  return {
    version,
    routes,
    services: [
      { name: "plain", maxConnections: 10, engine: undefined },
      { name: "other", maxConnections: 10, engine: undefined },
    ],
    limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    customers: undefined,
  };
}

function createUpstream(part: Partial<PublishedUpstream>): PublishedUpstream {
  return {
    id: "u",
    service: "plain",
    address: "127.0.0.1:1",
    failureDomain: "a",
    maxConcurrentRequests: 1,
    isLeaving: false,
    bornAtUnixMs: 1,
    models: [],
    adapters: new Map(),
    ...part,
  };
}

function createView(routes = [createRoute({})]): PublishedView {
  const view = new PublishedView();
  view.apply(
    {
      kind: "configuration",
      configuration: createConfiguration(3, routes),
    },
    LIVE,
    0,
  );
  return view;
}

test("an older configuration never replaces a newer one", () => {
  const view = createView();
  const older = createConfiguration(2, []);
  const change = { kind: "configuration", configuration: older } as const;
  assert.not(view.apply(change, LIVE, 0));
  assert.is(view.configuration?.version, 3);
  assert.ok(view.findRoute("mill.example", "/plans/1"));
});

test("the longest matching prefix of the host wins, and host names are case-insensitive", () => {
  const view = createView([
    createRoute({ name: "short", pathPrefix: "/" }),
    createRoute({ name: "long", pathPrefix: "/plans/today/" }),
    createRoute({ name: "middle", pathPrefix: "/plans/" }),
  ]);
  const find = (path: string) => view.findRoute("MILL.example", path)?.name;
  assert.is(find("/plans/today/x"), "long");
  assert.is(find("/plans/x"), "middle");
  assert.is(find("/x"), "short");
  assert.is(view.findRoute("other.example", "/"), undefined);
});

test("a split route distributes by weight, and a request id always selects the same service", () => {
  const route = createRoute({
    targets: [{ service: "plain", weight: 90 }, {
      service: "other",
      weight: 10,
    }],
  });
  const view = createView([route]);
  const names = Array.from(
    { length: 2_000 },
    (_, index) => view.selectService(route, `request ${index}`)?.name,
  );
  const others = names.filter((name) => name === "other").length;
  assert.ok(others > 120 && others < 300, `${others} of 2000`);
  assert.is(view.selectService(route, "request 7")?.name, names[7]);
});

test("a leaving upstream gets no new work, and one of an unknown service is not used", () => {
  const view = createView();
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 0);
  assert.is(view.listServing("plain").length, 1);
  const leaving = createUpstream({ isLeaving: true });
  assert.ok(view.apply({ kind: "upstream", upstream: leaving }, LIVE, 0));
  assert.is(view.listServing("plain").length, 0);
  const unknownService = createUpstream({ id: "s", service: "nobody's" });
  view.apply({ kind: "upstream", upstream: unknownService }, LIVE, 0);
  assert.is(view.getUpstream("s"), undefined);
});

test("peers should learn of a new start or other models, but not of other adapters", () => {
  const view = createView();
  const apply = (part: Partial<PublishedUpstream>) =>
    view.apply({ kind: "upstream", upstream: createUpstream(part) }, LIVE, 0);
  assert.ok(apply({}));
  assert.not(apply({ adapters: new Map([["m/a1", 1]]) }));
  assert.ok(apply({ bornAtUnixMs: 2 }));
  assert.ok(apply({ bornAtUnixMs: 2, models: ["m"] }));
});

test("a removed entry is dropped at once, one that lapsed in an outage after a grace period", () => {
  const view = createView();
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 0);
  view.apply({ kind: "upstreamGone", id: "u" }, AFTER_OUTAGE, 100);
  assert.is(view.listServing("plain").length, 1);
  assert.equal(view.removeLapsed(100 + LAPSE_GRACE_MS - 1), []);
  assert.equal(view.removeLapsed(100 + LAPSE_GRACE_MS), ["u"]);
  assert.is(view.listServing("plain").length, 0);
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 0);
  view.apply({ kind: "upstreamGone", id: "u" }, LIVE, 100);
  assert.is(view.listServing("plain").length, 0);
});

test("a lapsed entry that registers again within the grace period is kept", () => {
  const view = createView();
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 0);
  view.apply({ kind: "upstreamGone", id: "u" }, AFTER_OUTAGE, 100);
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 900);
  assert.equal(view.removeLapsed(100 + LAPSE_GRACE_MS), []);
  assert.is(view.listServing("plain").length, 1);
});

interface NoticeRow {
  name: string;
  /**
   * Steps in order: an entry is what the store says, a notice what the replica
   * said in an answer.
   */
  steps: (
    | { entry: Partial<PublishedUpstream> }
    | { noticeOfStart: number }
    | { gone: true }
  )[];
  isServing: boolean;
}

const NOTICE_ROWS: NoticeRow[] = [
  {
    name: "a notice takes effect without a change in the store",
    steps: [{ entry: {} }, { noticeOfStart: 1 }],
    isServing: false,
  },
  {
    name: "a later entry that says it is ready does not cancel the notice",
    steps: [{ entry: {} }, { noticeOfStart: 1 }, { entry: {} }],
    isServing: false,
  },
  {
    name: "a notice before the first entry takes effect",
    steps: [{ noticeOfStart: 1 }, { entry: {} }],
    isServing: false,
  },
  {
    name: "a notice after the store's leaving entry changes nothing",
    steps: [{ entry: { isLeaving: true } }, { noticeOfStart: 1 }],
    isServing: false,
  },
  {
    name: "an entry that is removed and comes back is still leaving",
    steps: [{ entry: {} }, { noticeOfStart: 1 }, { gone: true }, { entry: {} }],
    isServing: false,
  },
  {
    name: "a restart under the same id ends it",
    steps: [{ entry: {} }, { noticeOfStart: 1 }, {
      entry: { bornAtUnixMs: 2 },
    }],
    isServing: true,
  },
  {
    name: "a late notice of an earlier start does not affect the current one",
    steps: [{ entry: { bornAtUnixMs: 2 } }, { noticeOfStart: 1 }],
    isServing: true,
  },
  {
    name:
      "a late notice of an earlier start does not cancel that of a later one",
    steps: [
      { entry: { bornAtUnixMs: 2 } },
      { noticeOfStart: 2 },
      { noticeOfStart: 1 },
      { entry: { bornAtUnixMs: 2 } },
    ],
    isServing: false,
  },
];

for (const { name, steps, isServing } of NOTICE_ROWS) {
  test(`leaving: ${name}`, () => {
    const view = createView();
    for (const step of steps) {
      if ("entry" in step) {
        const upstream = createUpstream(step.entry);
        view.apply({ kind: "upstream", upstream }, LIVE, 0);
      } else if ("gone" in step) {
        view.apply({ kind: "upstreamGone", id: "u" }, LIVE, 0);
      } else {
        view.recordLeavingNotice({ id: "u", bornAtUnixMs: step.noticeOfStart });
      }
    }
    assert.is(view.listServing("plain").length, isServing ? 1 : 0);
    assert.is(view.getUpstream("u")?.isLeaving, !isServing);
  });
}

test("an upstream that a restored store does not list gets the time to register again", () => {
  const view = createView([]);
  view.apply({ kind: "upstream", upstream: createUpstream({}) }, LIVE, 0);
  view.apply({ kind: "upstreamGone", id: "u" }, RESTORED, 100);
  assert.is(view.removeLapsed(100 + LAPSE_GRACE_MS - 1).length, 0);
  assert.ok(view.getUpstream("u"));
  assert.is(view.removeLapsed(100 + LAPSE_GRACE_MS).length, 1);
  assert.not(view.getUpstream("u"));
});

test("a leaving upstream gets no work though a restored store has lost that it leaves, until it starts again", () => {
  const view = createView([]);
  const leaving = createUpstream({ isLeaving: true });
  const restored = createUpstream({});
  view.apply({ kind: "upstream", upstream: leaving }, LIVE, 0);
  view.apply({ kind: "upstream", upstream: restored }, RESTORED, 100);
  assert.is(view.listServing("plain").length, 0);
  view.apply({ kind: "upstream", upstream: restored }, LIVE, 200);
  assert.is(view.listServing("plain").length, 0);
  const restarted = createUpstream({ bornAtUnixMs: 2 });
  view.apply({ kind: "upstream", upstream: restarted }, LIVE, 300);
  assert.is(view.listServing("plain").length, 1);
});

test("an adapter's version does not go back because a restored store has lost the newer one", () => {
  const view = createView([]);
  const declare = (version: number, origin: ChangeOrigin) =>
    view.apply(
      { kind: "adapterVersion", adapterPath: "m/a", version },
      origin,
      0,
    );
  declare(5, LIVE);
  assert.not(declare(4, RESTORED));
  assert.is(view.getAdapterVersion("m/a"), 5);
  assert.ok(declare(4, LIVE));
  assert.is(view.getAdapterVersion("m/a"), 4);
});

test("a lower version that was written after a restore is put into force when it is due, unless another write follows", () => {
  const view = createView([]);
  const publish = (version: number, era: number, now: number) =>
    view.apply(
      {
        kind: "configuration",
        configuration: createConfiguration(version, []),
      },
      { ...LIVE, position: { era, revision: version }, contentHash: version },
      now,
    );
  publish(20, 1, 0);
  assert.ok(publish(11, 2, 100));
  assert.is(view.configuration?.version, 20);
  assert.not(view.applyDeferred(100 + LOWER_VERSION_DELAY_MS - 1));
  assert.ok(view.applyDeferred(100 + LOWER_VERSION_DELAY_MS));
  assert.is(view.configuration?.version, 11);
  assert.not(view.applyDeferred(100 + 2 * LOWER_VERSION_DELAY_MS));
  publish(9, 3, 5_000);
  publish(30, 3, 5_100);
  assert.not(view.applyDeferred(9_000));
  assert.is(view.configuration?.version, 30);
});

test.run();
