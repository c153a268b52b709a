/** The least that a relay can be: node:http on one side, undici on the other, and a pipe between them. */
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
  }).then(async (answer) => {
    response.writeHead(answer.statusCode, {
      "content-type": String(answer.headers["content-type"]),
    });
    response.flushHeaders();
    await pipeline(answer.body, response);
  }).catch(() => response.destroy());
});

const port = await listen(server, "127.0.0.1:0");
console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));
