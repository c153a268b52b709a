/** Gateway settings: the example is valid, the filled-in template equals it, errors name their line. */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { gatewaySettingsSchema } from "../../src/settings/gateway_settings.ts";
import { parseYamlAs } from "../../src/settings/yaml_file.ts";

const EXAMPLE = readFileSync("examples/settings/gateway.yaml", "utf8");
const TEMPLATE = readFileSync("deploy/settings.yaml.template", "utf8");

/** Values that the platform substitutes in the template, by placeholder. */
const PLATFORM_VALUES: Record<string, string> = {
  "node_name|json": '"front-hobart-a-1"',
  "zone|json": '"hobart-a"',
  "zones|json": '{"hobart-a":"tas-south","huon-b":"tas-south"}',
  "listen.front|json": '"10.1.0.38:8149"',
  "listen.ready|json": '"10.1.0.38:8141"',
  "listen.control|json": '"10.1.0.38:8144"',
  "port_range.0|json": "7380",
  "seeds|json": '["10.2.0.40:8144","10.3.0.6:8144"]',
  "platform.addr|json": '"10.200.1.7:8142"',
  "bounds.drain_ms|json": "2000",
  "bounds.lease_ms|json": "3000",
  "bounds.budget_ratio|json": "0.2",
  "bounds.budget_window_s": "10",
  "bounds.budget_slack|json": "58",
  "bounds.grace_s": "8",
};
/** The same on platforms that limit customers. */
const QUOTA_VALUES: Record<string, string> = {
  "bounds.quota_slack": "110000",
  "bounds.quota_slack|json": "110000",
  "bounds.quota_over|json": "0.25",
  "bounds.quota_window_s|json": "8",
};

/** Fills in placeholders and sections, which are left out without a value. */
function fillTemplate(values: Record<string, string>): string {
  return TEMPLATE
    .replace(
      /\{\{#([^}]+)\}\}\n(.*?)\{\{\/\1\}\}\n/gs,
      (_, name: string, section: string) => name in values ? section : "",
    )
    .replace(/\{\{([^}]+)\}\}/g, (_, name: string) => {
      assert.ok(name in values, name);
      return values[name] ?? "";
    });
}

test("the filled-in template equals the example", () => {
  const filled = fillTemplate({ ...PLATFORM_VALUES, ...QUOTA_VALUES });
  const fromTemplate = parseYamlAs(filled, gatewaySettingsSchema);
  const fromExample = parseYamlAs(EXAMPLE, gatewaySettingsSchema);
  assert.ok(fromTemplate.isOk(), JSON.stringify(fromTemplate));
  assert.equal(fromTemplate.unwrap(), fromExample.unwrap());
});

test("the template without quotas equals the example without them", () => {
  const filled = fillTemplate(PLATFORM_VALUES);
  const fromTemplate = parseYamlAs(filled, gatewaySettingsSchema);
  const { quotas, ...rest } = parseYamlAs(EXAMPLE, gatewaySettingsSchema)
    .unwrap();
  assert.ok(quotas);
  assert.ok(fromTemplate.isOk(), JSON.stringify(fromTemplate));
  assert.equal(fromTemplate.unwrap(), rest);
});

test("an error names its path and line", () => {
  const text = EXAMPLE.replace("termMs: 3000", "termMs: soon");
  const settings = parseYamlAs(text, gatewaySettingsSchema);
  assert.ok(settings.isErr());
  const [fault] = settings.isErr() ? settings.error : [];
  assert.is(fault?.path, "orders.termMs");
  assert.is(fault?.line, EXAMPLE.split("\n").indexOf("  termMs: 3000") + 1);
});

test.run();
