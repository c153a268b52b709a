// Starts gateways with the command of deploy/system.toml, each at a loopback address of its own.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { get } from "node:http";
import { fileURLToPath } from "node:url";
import { renderSettings } from "./template.mjs";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** The gateways that have been started; none outlives the script. */
const started = new Set();
process.on("SIGTERM", () => process.exit(2));
process.on("exit", () => {
  for (const gateway of started) gateway.dispose();
});

/** Bounds of sites/feedline-tas.toml, from its sheet. */
const BOUNDS = {
  drain_ms: 2000, lease_ms: 3000, grace_s: 8, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 58,
};

export async function findFreePort(ip) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

export function waitMs(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The ports of all gateways of a case: the same at each address. */
export async function choosePorts() {
  const ports = new Set();
  while (ports.size < 4) ports.add(await findFreePort("127.0.0.1"));
  const [front, ready, control, peers] = ports;
  return { front, ready, control, peers };
}

export class Gateway {
  constructor({ ip, zone, ports, store, seeds, folder, bounds = {} }) {
    this.ip = ip;
    this.name = `front-${zone}-${ip.split(".").at(-1)}`;
    this.ports = ports;
    this.folder = folder ?? mkdtempSync(join(tmpdir(), "review-"));
    this.settingsPath = join(this.folder, `${this.name}.yaml`);
    const text = renderSettings(join(ROOT, "deploy/settings.yaml.template"), {
      node_name: this.name,
      zone,
      listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}` },
      port_range: [ports.peers, ports.peers + 15],
      seeds: (seeds ?? [ip]).map((each) => `${each}:${ports.control}`),
      platform: { addr: store },
      bounds: { ...BOUNDS, ...bounds },
    });
    writeFileSync(this.settingsPath, text);
    this.logPath = join(this.folder, `${this.name}.log`);
  }

  start() {
    const log = openSync(this.logPath, "a");
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(
      "node",
      ["--single-threaded", "--max-old-space-size=128", "target/pistachiohatch-gateway.mjs"],
      {
        cwd: ROOT,
        env: { PATH, HOME, LANG, PISTACHIOHATCH_NODE_FILE: this.settingsPath },
        stdio: ["ignore", log, log],
      },
    );
    closeSync(log);
    started.add(this);
    this.exit = undefined;
    this.child.on("exit", (code, signal) => this.exit = { code, signal, at: Date.now() });
  }

  isReady() {
    return new Promise((resolve) => {
      const call = get(
        { host: this.ip, port: this.ports.ready, path: "/-/readyz", timeout: 1000, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
    });
  }

  async waitUntilReady(limitMs = 15_000) {
    const endsAt = Date.now() + limitMs;
    while (Date.now() < endsAt) {
      if (await this.isReady()) return;
      await waitMs(100);
    }
    throw new Error(`${this.name} is not ready`);
  }

  /** Resident memory in MB; undefined if the process has ended. */
  readMemoryMb(field = "VmRSS") {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      const kb = new RegExp(`${field}:\\s+(\\d+)`).exec(text)?.[1];
      return kb === undefined ? undefined : Number(kb) / 1024;
    } catch {
      return undefined;
    }
  }

  signal(name) {
    if (this.exit === undefined) this.child.kill(name);
  }

  stop() {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
  }

  dispose() {
    this.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
