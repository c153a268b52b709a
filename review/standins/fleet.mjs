/**
 * Starts gateways as the platform does: the program and arguments of
 * deploy/system.toml, and a settings file made from the template.
 */
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

const FRONT_PORT = 8149;
const READY_PORT = 8141;
const CONTROL_PORT = 8144;
const RANGE_PORT = 7380;

/** The bounds of sites/feedline-tas.toml, as its sheet gives them. */
export const BOUNDS = {
  contact_ms: 3_000,
  drain_ms: 2_000,
  grace_s: 8,
  apply_ms: 2_000,
  max_stretch_ms: 5_000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 58,
  lease_ms: 3_000,
};

export class Fleet {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #storeAddress;
  #storeViews = [];
  #seeds = [];
  gateways = [];

  constructor() {
    // A loopback network of this run, on which the ports are free.
    this.network = `127.${64 + process.pid % 128}.${process.pid >> 7 & 255}`;
  }

  /**
   * Sets the address at which the gateways reach the store.
   * @param views the addresses for each gateway, where they differ.
   */
  useStore(address, views = []) {
    this.#storeAddress = address;
    this.#storeViews = views;
  }

  async start(zones) {
    this.#seeds = zones.slice(0, 3)
      .map((_, index) => `${this.#getIp(index)}:${CONTROL_PORT}`);
    this.gateways = zones.map((zone, index) => this.#spawn(zone, index));
    const endsAt = Date.now() + 10_000;
    for (const gateway of this.gateways) {
      while (!await isReady(gateway.ip)) {
        if (Date.now() > endsAt) throw new Error("gateways are not ready");
        await sleep(50);
      }
    }
  }

  #getIp(index) {
    return `${this.network}.${index + 1}`;
  }

  #spawn(zone, index) {
    const ip = this.#getIp(index);
    const name = `front-${zone}-${index + 1}`;
    const fields = {
      node_name: name,
      zone,
      listen: {
        front: `${ip}:${FRONT_PORT}`,
        ready: `${ip}:${READY_PORT}`,
        control: `${ip}:${CONTROL_PORT}`,
      },
      port_range: [RANGE_PORT, RANGE_PORT + 15],
      seeds: this.#seeds,
      platform: { addr: this.#storeViews[index] ?? this.#storeAddress },
      bounds: BOUNDS,
    };
    const template = readFileSync("deploy/settings.yaml.template", "utf8");
    const settingsPath = join(this.#folder, `${name}.yaml`);
    writeFileSync(settingsPath, fill(template, fields));
    const logPath = join(this.#folder, `${name}.log`);
    const log = openSync(logPath, "w");
    const [program, ...args] = readRunCommand();
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          PISTACHIOHATCH_NODE_FILE: settingsPath,
        },
        stdio: ["ignore", log, log],
      },
    );
    closeSync(log);
    const gateway = { name, ip, port: FRONT_PORT, zone, child, logPath };
    child.once("exit", (code, signal) => {
      gateway.end = { code, signal, at: Date.now() };
    });
    return gateway;
  }

  /** Starts a gateway again that has ended, as the platform does. */
  async restart(index) {
    const gateway = this.gateways[index];
    const { child } = this.#spawn(gateway.zone, index);
    gateway.child = child;
    gateway.end = undefined;
    child.once("exit", (code, signal) => {
      gateway.end = { code, signal, at: Date.now() };
    });
    while (!gateway.end && !await isReady(gateway.ip)) await sleep(50);
  }

  stop() {
    for (const { child } of this.gateways) child.kill("SIGKILL");
    if (process.env.KEEP_LOGS) console.error(`logs: ${this.#folder}`);
    else rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Returns the words of the role's `run` in the deploy file. */
function readRunCommand() {
  const deploy = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
  if (!run) throw new Error("deploy/system.toml has no run command");
  return run.split(" ");
}

/** Fills in the placeholders that the template uses. */
function fill(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    let value = fields;
    for (const key of path.split(".")) value = value?.[key];
    if (value === undefined) throw new Error(`no field ${path}`);
    return json ? JSON.stringify(value) : String(value);
  });
}

/** Asks a gateway whether it is ready, as the platform does. */
export function isReady(ip) {
  return new Promise((resolve) => {
    const call = request(
      { host: ip, port: READY_PORT, path: "/-/readyz", agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    call.on("error", () => resolve(false));
    call.end();
  });
}
