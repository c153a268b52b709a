/**
 * Guards against clients that only connect: they must neither take the place of
 * connected peers nor raise the number of connections beyond the limit.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionAdmission } from "../../../src/core/limits/connection_admission.ts";

const MAX_CONNECTIONS = 3;

test("a connection below the limit is accepted and counts", () => {
  const admission = new ConnectionAdmission<string>(MAX_CONNECTIONS);
  assert.equal(admission.admit("a"), { kind: "accepted" });
  assert.equal(admission.admit("b"), { kind: "accepted" });
  assert.is(admission.size, 2);
});

test("beyond the limit the longest unconfirmed connection is replaced", () => {
  const admission = new ConnectionAdmission<string>(MAX_CONNECTIONS);
  for (const name of ["a", "b", "c"]) admission.admit(name);
  admission.confirm("a");
  assert.equal(admission.admit("d"), { kind: "replacing", replaced: "b" });
  assert.equal(admission.admit("e"), { kind: "replacing", replaced: "c" });
  assert.equal(admission.list().sort(), ["a", "d", "e"]);
});

test("beyond the limit a connection is refused if all others are confirmed", () => {
  const admission = new ConnectionAdmission<string>(MAX_CONNECTIONS);
  for (const name of ["a", "b", "c"]) {
    admission.admit(name);
    admission.confirm(name);
  }
  assert.equal(admission.admit("d"), { kind: "refused" });
  assert.equal(admission.list(), ["a", "b", "c"]);
  admission.remove("b");
  assert.equal(admission.admit("e"), { kind: "accepted" });
});

test("a connection that was replaced or removed is not confirmed later", () => {
  const admission = new ConnectionAdmission<string>(MAX_CONNECTIONS);
  for (const name of ["a", "b", "c", "d"]) admission.admit(name);
  admission.confirm("a");
  admission.remove("b");
  admission.confirm("b");
  assert.equal(admission.list(), ["c", "d"]);
});

test("a limit of one replaces the connection until it is confirmed", () => {
  const admission = new ConnectionAdmission<string>(1);
  admission.admit("a");
  assert.equal(admission.admit("b"), { kind: "replacing", replaced: "a" });
  admission.confirm("b");
  assert.equal(admission.admit("c"), { kind: "refused" });
});

test.run();
