/** What the tool prints of a gateway, read from a real metrics endpoint. */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  parseMetricSamples,
  printGatewayStatus,
} from "../../src/cli/gateway_status_command.ts";
import { ExitCode } from "../../src/cli/exit_codes.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import { reservePorts } from "../port_reservation.ts";

const ports = await reservePorts(process.pid);
const PORT = ports.port;

test.after(() => ports.release());

test("prints gauges and counters with their labels, without histogram buckets", async () => {
  const metrics = new GatewayMetrics();
  metrics.setGauge("held_engines", 2);
  metrics.count("refusals", "noPlace");
  metrics.measure("first_byte", "stream", 30);
  await metrics.listen(`127.0.0.1:${PORT}`);
  const response = await fetch(`http://127.0.0.1:${PORT}/metrics`);
  const samples = parseMetricSamples(await response.text());
  const exitCode = await printGatewayStatus(`127.0.0.1:${PORT}`, true);
  metrics.close();
  assert.is(exitCode, ExitCode.Success);
  const find = (name: string) => samples.find((each) => each.name === name);
  assert.is(find("held_engines")?.value, 2);
  assert.equal(find("refusals_total"), {
    name: "refusals_total",
    labels: 'reason="noPlace"',
    value: 1,
  });
  assert.is(find("first_byte_ms_count")?.value, 1);
  assert.is(find("first_byte_ms_bucket"), undefined);
});

test("fails with DaemonFailed if the gateway does not answer", async () => {
  const exitCode = await printGatewayStatus(`127.0.0.1:${PORT}`, false);
  assert.is(exitCode, ExitCode.DaemonFailed);
});

test.run();
