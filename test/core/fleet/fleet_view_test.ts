/** Who lives, who should order an engine, who reads the store. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type FleetMember,
  FleetView,
  type Heartbeat,
  type NamedMember,
} from "../../../src/core/fleet/fleet_view.ts";
import { buildHeartbeat } from "./heartbeat_builder.ts";

function createMember(id: string, failureDomain = "a"): FleetMember {
  return { id, ip: `10.0.0.${id}`, failureDomain };
}

const ENGINE = { id: "e", failureDomain: "a" };

test("a silent member is taken for dead, and lives again when it is heard", () => {
  const fleet = new FleetView(createMember("1"));
  fleet.recordHeartbeat(buildHeartbeat(createMember("2")), 0);
  assert.is(fleet.countLiving(1_500), 2);
  assert.is(fleet.countLiving(1_700), 1);
  fleet.recordHeartbeat(buildHeartbeat(createMember("2")), 5_000);
  assert.is(fleet.countLiving(5_100), 2);
});

test("a member that does not acknowledge is passed over until it is heard", () => {
  const fleet = new FleetView(createMember("1"));
  const heartbeat = buildHeartbeat(createMember("2"), { heldEngines: ["e"] });
  fleet.recordHeartbeat(heartbeat, 0);
  assert.is(fleet.findHolder("e", 10), "2");
  fleet.recordSilence("2", 10);
  assert.is(fleet.findHolder("e", 20), undefined);
  fleet.recordHeartbeat(heartbeat, 400);
  assert.is(fleet.findHolder("e", 410), "2");
});

test("members that others name are sent to, but live only once heard", () => {
  const fleet = new FleetView(createMember("1"));
  const named: NamedMember = ["3", "10.0.0.3", "a", 1];
  fleet.recordHeartbeat(
    buildHeartbeat(createMember("2"), { sample: [named] }),
    0,
  );
  assert.ok(fleet.selectTargets(10).some((member) => member.id === "3"));
  assert.is(fleet.countLiving(10), 2);
});

test("every daemon ranks the same holder, of the engine's failure domain first", () => {
  const members = ["1", "2", "3"].map((id) => createMember(id, "a"));
  members.push(createMember("9", "b"));
  const rankings = members.map((self) => {
    const fleet = new FleetView(self);
    for (const other of members) {
      fleet.recordHeartbeat(buildHeartbeat(other), 0);
    }
    return fleet.rankHolders(ENGINE, false, 1).map((member) => member.id);
  });
  for (const ranking of rankings) assert.equal(ranking, rankings[0]);
  assert.equal([...rankings[0] ?? []].sort(), ["1", "2", "3"]);
});

test("where nobody of the engine's failure domain lives, others take it", () => {
  const fleet = new FleetView(createMember("9", "b"));
  fleet.recordHeartbeat(buildHeartbeat(createMember("8", "c")), 0);
  const ranked = fleet.rankHolders(ENGINE, false, 1).map((each) => each.id);
  assert.equal(ranked.sort(), ["8", "9"]);
});

test("a daemon that hears half of those that it knows hears no majority", () => {
  const fleet = new FleetView(createMember("1"));
  assert.ok(fleet.isHearingMajority(0));
  const sample: NamedMember[] = [
    ["3", "10.0.0.3", "a", 1],
    ["4", "10.0.0.4", "a", 1],
  ];
  fleet.recordHeartbeat(buildHeartbeat(createMember("2"), { sample }), 0);
  assert.not(fleet.isHearingMajority(1));
  fleet.recordHeartbeat(buildHeartbeat(createMember("3")), 1);
  assert.ok(fleet.isHearingMajority(2));
});

test("a leaving daemon is no candidate and no holder", () => {
  const fleet = new FleetView(createMember("1"));
  const leaving = { isLeaving: true, heldEngines: ["e"] };
  fleet.recordHeartbeat(buildHeartbeat(createMember("2"), leaving), 0);
  assert.equal(fleet.rankHolders(ENGINE, false, 1).map((each) => each.id), [
    "1",
  ]);
  assert.is(fleet.findHolder("e", 1), undefined);
});

test("one daemon of a failure domain reads the store; another does when it can't", () => {
  const members = ["1", "2", "3"].map((id) => createMember(id, "a"));
  const readers = (broken: string | undefined) =>
    members.filter((self) => {
      const fleet = new FleetView(self);
      for (const other of members) {
        const hasStore = other.id !== broken;
        fleet.recordHeartbeat(buildHeartbeat(other, { hasStore }), 0);
      }
      return fleet.isReader(self.id !== broken, 1);
    }).map((member) => member.id);
  const [reader, ...others] = readers(undefined);
  assert.equal(others, []);
  const [next, ...rest] = readers(reader);
  assert.equal(rest, []);
  assert.is.not(next, reader);
});

test("a daemon of a large fleet never takes those that it hears for a majority", () => {
  const fleet = new FleetView(createMember("self"));
  for (let index = 0; index < 30; index += 1) {
    fleet.recordHeartbeat(buildHeartbeat(createMember(`m${index}`)), 0);
  }
  assert.not(fleet.isHearingMajority(1));
});

test("a large fleet is sent to in parts, its own failure domain first", () => {
  const fleet = new FleetView(createMember("self"));
  for (let index = 0; index < 300; index += 1) {
    const member = createMember(`m${index}`, index < 20 ? "a" : "b");
    fleet.recordHeartbeat(buildHeartbeat(member), 0);
  }
  const near = new Set<string>();
  for (let round = 0; round < 5; round += 1) {
    const targets = fleet.selectTargets(1);
    assert.ok(targets.length <= 7, `${targets.length} targets`);
    for (const member of targets) {
      if (member.failureDomain === "a") near.add(member.id);
    }
  }
  assert.is(near.size, 20);
});

test("an engine is taken for unheld on the fresh word of every peer, all of them new", () => {
  const view = new FleetView(createMember("1"));
  const beat = (id: string, part: Partial<Heartbeat>, now: number) =>
    view.recordHeartbeat(buildHeartbeat(createMember(id), part), now);
  const seedIps = ["10.0.0.1", "10.0.0.2"];
  const isUnheld = (now: number) =>
    view.isUnheld("e", { since: 1_000, seedIps }, now);
  beat("2", { newcomerHeld: [] }, 1_350);
  assert.not(isUnheld(1_400), "one peer is too few");
  beat("3", { newcomerHeld: [] }, 1_250);
  assert.not(isUnheld(1_400), "sent before the engine was observed, perhaps");
  beat("3", { newcomerHeld: ["other"] }, 1_400);
  assert.ok(isUnheld(1_400));
  assert.not(isUnheld(3_400), "silent since");
  const cut = { since: 1_000, seedIps: [...seedIps, "10.0.0.9"] };
  assert.not(view.isUnheld("e", cut, 1_400), "a seed was not heard");
  beat("2", { newcomerHeld: ["e"] }, 3_400);
  beat("3", { newcomerHeld: [] }, 3_400);
  assert.not(isUnheld(3_400), "held before");
  beat("2", { newcomerHeld: [], heldEngines: ["e"] }, 3_410);
  assert.not(isUnheld(3_410), "held");
  beat("2", {}, 3_420);
  assert.not(isUnheld(3_420), "not new");
  beat(
    "2",
    { newcomerHeld: [], sample: [["4", "10.0.0.4", "zone-a", 1]] },
    3_430,
  );
  assert.not(isUnheld(3_430), "somebody is known and was not heard");
});

test.run();
