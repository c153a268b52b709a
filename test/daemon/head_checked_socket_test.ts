/**
 * Connections that check heads, below a parser that accepts broken names: no part
 * of a broken head reaches it, on a connection's first answer or a later one.
 */
import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  checkNextHead,
  HeadCheckedAgent,
} from "../../src/daemon/head_checked_socket.ts";

const SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const BROKEN =
  "HTTP/1.1 200 OK\r\nX-Note: a\r\n X-Load: 1\r\nContent-Length: 2\r\n\r\nok";

/** Starts a server that sends the answers of each connection in turn. */
async function startServer(answers: string[]): Promise<Server> {
  const server = createServer((socket) => {
    const waiting = [...answers];
    socket.on("error", () => {});
    socket.on("data", () => socket.write(waiting.shift() ?? ""));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

/** Resolves to the answer's fields, or to the error's message. */
function call(
  server: Server,
  agent: HeadCheckedAgent,
  isChecked: boolean,
): Promise<string> {
  return new Promise((resolve) => {
    const { port } = server.address() as AddressInfo;
    const sent = request({ port, agent, insecureHTTPParser: true });
    sent.on("socket", (socket) => {
      if (isChecked) checkNextHead(socket);
    });
    sent.on("error", (error) => resolve(error.message));
    sent.on("response", (response) => {
      response.resume();
      response.on("end", () => resolve(response.rawHeaders.join("|")));
    });
    sent.end();
  });
}

for (const earlier of [0, 1, 2]) {
  test(`a broken head behind ${earlier} sound answers of a connection reaches the parser`, async () => {
    const server = await startServer([...Array(earlier).fill(SOUND), BROKEN]);
    const agent = new HeadCheckedAgent({ keepAlive: true });
    for (let index = 0; index < earlier; index += 1) {
      assert.is(await call(server, agent, true), "Content-Length|2");
    }
    assert.match(await call(server, agent, true), "a header field in line 3");
    agent.destroy();
    server.close();
  });
}

test("the parser of these tests is a strict one", async () => {
  const server = await startServer([BROKEN]);
  const agent = new HeadCheckedAgent({ keepAlive: true });
  const fields = await call(server, agent, false);
  assert.is(fields, "X-Note|a X-Load: 1|Content-Length|2");
  agent.destroy();
  server.close();
});

test("a request that waits for another's connection is not checked", async () => {
  const server = await startServer([SOUND, BROKEN]);
  const agent = new HeadCheckedAgent({ keepAlive: true, maxTotalSockets: 1 });
  const answers = await Promise.all([
    call(server, agent, true),
    call(server, agent, true),
  ]);
  assert.is(answers[0], "Content-Length|2");
  assert.match(answers[1] ?? "", "a header field in line 3");
  agent.destroy();
  server.close();
});

test.run();
