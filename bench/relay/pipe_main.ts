/**
 * A minimal relay as the baseline: pipes requests from node:http to undici and
 * responses back.
 */
import { createServer } from "node:http";
import process from "node:process";
import { pipeline } from "node:stream/promises";
import { Agent } from "undici";
import { listen } from "../../src/daemon/http_server.ts";

const [, , upstreamAddress = ""] = process.argv;
const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

const server = createServer((request, response) => {
  void agent.request({
    origin: `http://${upstreamAddress}`,
    path: request.url ?? "/",
    method: "POST",
    headers: { "content-type": "application/json" },
    body: request,
  }).then(async (upstreamResponse) => {
    response.writeHead(upstreamResponse.statusCode, {
      "content-type": String(upstreamResponse.headers["content-type"]),
    });
    response.flushHeaders();
    await pipeline(upstreamResponse.body, response);
  }).catch(() => response.destroy());
});

const port = await listen(server, "127.0.0.1:0");
console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));
