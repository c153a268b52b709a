import { GatewayBench } from "./gateway_bench.ts";
const bench = new GatewayBench();
await bench.start({ gateways: 1, engines: 2, services: 1 });
let done = 0;
const start = process.cpuUsage(); const t0 = performance.now();
async function worker(i: number) {
  while (performance.now() - t0 < 12_000) {
    const answer = await bench.call("/brief/1", { headers: { "X-Model": `m/a${i % 3}`, "X-Token-Counts": "100,20" } });
    if (answer.status === 200) done += 1; else await new Promise((r) => setTimeout(r, 50));
  }
}
await Promise.all(Array.from({ length: 24 }, (_, i) => worker(i)));
const used = process.cpuUsage(start);
console.log("done", done, "cpu ms", (used.user + used.system) / 1000, "per request", (used.user + used.system) / 1000 / done);
process.exit(0);
