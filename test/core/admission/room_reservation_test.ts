/**
 * Guards against background runs that fill an engine for seconds before urgent
 * requests arrive, and against room that stays reserved for nobody.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RoomReservation } from "../../../src/core/admission/room_reservation.ts";

const ROOM = { tokens: 200_000, runs: 60 };
const BACKGROUND = { priorityRank: 2 };

function createRequest(priorityRank: number) {
  return {
    priorityRank,
    adapterPath: "m",
    promptTokens: 900,
    outputTokens: 100,
    promptParts: [],
  };
}

/** Records urgent requests each 250 ms until the given time. */
function createReservation(untilMs: number): RoomReservation {
  const reservation = new RoomReservation();
  for (let now = 0; now <= untilMs; now += 250) {
    reservation.recordArrival(createRequest(0), now);
  }
  return reservation;
}

test("room is kept for what urgent requests use at their recent rate", () => {
  const reservation = createReservation(20_000);
  // Four requests of 1,000 tokens a second that run for a second.
  const { tokens, runs } = reservation.computeReservation(
    BACKGROUND,
    ROOM,
    20_000,
  );
  assert.ok(Math.abs(tokens - 4_000) < 400, String(tokens));
  assert.is(runs, 3);
});

test("room that urgent requests use already is not kept twice", () => {
  const reservation = createReservation(20_000);
  for (let index = 0; index < 5; index += 1) {
    reservation.recordGrant(`p${index}`, createRequest(0), 20_000);
  }
  const reserved = () =>
    reservation.computeReservation(BACKGROUND, ROOM, 20_000);
  assert.equal(reserved(), { tokens: 0, runs: 0 });
  for (let index = 0; index < 5; index += 1) {
    reservation.recordRelease(`p${index}`, 21_000);
  }
  assert.ok(reserved().tokens > 3_000);
});

test("the room is given back when urgent requests stay away", () => {
  const reservation = createReservation(20_000);
  const { tokens } = reservation.computeReservation(BACKGROUND, ROOM, 40_000);
  assert.ok(tokens < 100, String(tokens));
});

test("at most a twentieth of the room is kept, and nothing from equal priorities", () => {
  const reservation = createReservation(20_000);
  for (let index = 0; index < 1_000; index += 1) {
    reservation.recordArrival(createRequest(0), 20_000);
  }
  assert.equal(reservation.computeReservation(BACKGROUND, ROOM, 20_000), {
    tokens: 10_000,
    runs: 3,
  });
  assert.equal(
    reservation.computeReservation({ priorityRank: 0 }, ROOM, 20_000),
    { tokens: 0, runs: 0 },
  );
});

test.run();
