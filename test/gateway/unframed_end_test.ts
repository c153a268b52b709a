/**
 * Answers without length or chunks, whose end is the close of the connection, at
 * replicas whose process ends in that moment.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const EVENTS = [1, 2, 3, 4].map((event) => `id: ${event}\ndata: piece\n\n`);
const SERVICE_ANSWER = "the whole answer of the service";

test.before(async () => {
  harness.routeOverrides = { resume: { resumable: true } };
  await harness.start({ gateways: 1, engines: 2, services: 2 });
  for (const replica of [...harness.engines, ...harness.services]) {
    replica.onRestart = () => harness.register(replica);
  }
});
test.after(() => harness.stop());

test.after.each(async () => {
  // Replicas register what they hold; the crashed one loads its model again.
  await harness.waitFor(async () => {
    const engines = harness.engines.filter((engine) => !engine.isDown);
    if (engines.length < harness.engines.length) return false;
    if (harness.services.some((service) => service.isDown)) return false;
    for (const engine of engines) harness.register(engine);
    const answer = await harness.call("/brief/ready");
    return answer.status === 200 &&
      harness.engines.every((engine) => engine.models.length > 0);
  });
});

for (const framing of ["length", "chunked"] as const) {
  test(`a whole answer with framing ${framing} is complete, though its connection is reset together with its last bytes`, async () => {
    const id = `reset-${framing}`;
    harness.scriptAnswers(id, [{
      framing,
      body: SERVICE_ANSWER,
      end: "resetAtOnce",
    }]);
    const answer = await harness.call(`/unsafe/${id}`, { id });
    assert.is(answer.status, 200);
    assert.is(answer.body, SERVICE_ANSWER);
  });
}

test("a refusal without framing is believed without another connection to its replica", async () => {
  const id = "refused";
  const countConnections = () =>
    harness.services.reduce((sum, each) => sum + each.connectionCount, 0);
  const before = countConnections();
  harness.scriptAnswers(id, [{
    statusLine: "HTTP/1.1 503 Service Unavailable",
    headers: { "X-Not-Run": "1" },
    framing: "close",
    body: "",
    end: "close",
  }]);
  const answer = await harness.call(`/unsafe/${id}`, { id });
  assert.is(answer.status, 200);
  assert.is(countConnections() - before, 2, "one for each attempt");
});

test("a resumable stream without framing whose engine crashes between events goes on after the last one", async () => {
  const id = "crash-resumed";
  harness.scriptAnswers(id, [{
    framing: "close",
    body: EVENTS.slice(0, 2).join(""),
    end: "closeAndCrash",
  }, {
    framing: "close",
    body: EVENTS.slice(2).join(""),
    end: "close",
  }]);
  const answer = await harness.call("/resume/1", { id });
  assert.ok(answer.isComplete);
  assert.is(answer.body, EVENTS.join(""));
});

for (const events of [1, 2, 3]) {
  test(`a stream without framing whose engine crashes after event ${events} of 4 never looks complete`, async () => {
    const id = `crash-after-${events}`;
    harness.scriptAnswers(id, [{
      framing: "close",
      body: EVENTS.slice(0, events).join(""),
      end: "closeAndCrash",
    }]);
    const answer = await harness.call(`/brief/${id}`, { id });
    assert.is(answer.status, 200);
    assert.not.ok(answer.isComplete);
    assert.is(harness.countRuns(id), 1);
  });
}

for (const path of ["/unsafe/1", "/safe/1"]) {
  test(`${path}: an answer without framing whose replica crashes within it is no success`, async () => {
    const id = `crash-${path}`;
    harness.scriptAnswers(id, [{
      framing: "close",
      body: SERVICE_ANSWER.slice(0, 9),
      end: "closeAndCrash",
    }]);
    const answer = await harness.call(path, { id });
    assert.is(answer.status, 502);
    assert.is(harness.countRuns(id), 1);
  });
}

for (const coding of ["identity", "chunked, gzip"]) {
  test(`an answer in the transfer coding "${coding}" whose replica crashes within it is no success`, async () => {
    const id = `crash-${coding.replaceAll(/\W+/g, "-")}`;
    harness.scriptAnswers(id, [{
      headers: { "Transfer-Encoding": coding },
      framing: "close",
      body: SERVICE_ANSWER.slice(0, 9),
      end: "closeAndCrash",
    }]);
    const answer = await harness.call(`/unsafe/${id}`, { id });
    assert.is(answer.status, 502);
    assert.is(harness.countRuns(id), 1);
  });
}

test("an answer without framing of a replica that lives on is complete", async () => {
  harness.scriptAnswers("alive", [{
    framing: "close",
    body: EVENTS.join(""),
    end: "close",
  }]);
  const answer = await harness.call("/brief/1", { id: "alive" });
  assert.ok(answer.isComplete);
  assert.is(answer.body, EVENTS.join(""));
});

test.run();
