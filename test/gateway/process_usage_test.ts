/** Periodic summaries of a gateway's processor time and work. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ProcessUsage } from "../../src/gateway/process_usage.ts";

test("a summary counts from the one before, also what appeared since", () => {
  let totals: {
    processorMicroseconds: number;
    counts: Record<string, number>;
  } = { processorMicroseconds: 300_000, counts: { requests: 4 } };
  const usage = new ProcessUsage(() => totals, 1_000);
  totals = { processorMicroseconds: 900_000, counts: { requests: 10 } };
  assert.is(usage.takeSummary(5_999), undefined);
  assert.equal(usage.takeSummary(6_000), {
    elapsedMs: 5_000,
    processorMs: 600,
    counts: { requests: 6 },
  });
  totals = {
    processorMicroseconds: 1_000_000,
    counts: { requests: 11, "peer_datagrams.retransmission": 3 },
  };
  assert.equal(usage.takeSummary(12_000), {
    elapsedMs: 6_000,
    processorMs: 100,
    counts: { requests: 1, "peer_datagrams.retransmission": 3 },
  });
});

test.run();
