/** HTTP/1.1 and HTTP/1.0 clients receive the chunks that writeChunk writes unchanged, also between chunks of `response.write`. */
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { connect } from "node:net";
import type { Response } from "express";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { needsDrain, writeChunk } from "../../src/daemon/chunk_writer.ts";
import { listen } from "../../src/daemon/http_server.ts";

const test = suite("chunk writer");
const SIZES = [1, 9, 15, 16, 17, 255, 256, 65_536, 300_000];
let server: Server;
let port = 0;
let respond: (response: Response) => void = () => {};

test.before(async () => {
  server = createServer((_request, response) => respond(response as Response));
  port = await listen(server, "127.0.0.1:0");
});

test.after(() => {
  server.close();
  server.closeAllConnections();
});

function createChunks(): Buffer[] {
  return SIZES.map((size, index) => Buffer.alloc(size, 97 + index));
}

test("chunks arrive complete and in order, mixed with chunks of response.write", async () => {
  const chunks = createChunks();
  respond = (response) => {
    response.flushHeaders();
    for (const chunk of chunks) {
      writeChunk(response, chunk);
      response.write("|");
    }
    response.end("end");
  };
  const response = await fetch(`http://127.0.0.1:${port}/`);
  const expected = chunks.map((chunk) => `${chunk}|`).join("") + "end";
  assert.is(await response.text(), expected);
});

test("chunks before the headers are written by the response", async () => {
  respond = (response) => {
    writeChunk(response, Buffer.from("first "));
    writeChunk(response, Buffer.alloc(0));
    writeChunk(response, Buffer.from("second"));
    response.end();
  };
  const response = await fetch(`http://127.0.0.1:${port}/`);
  assert.is(await response.text(), "first second");
});

test("an HTTP/1.0 client gets the bytes without chunk framing", async () => {
  respond = (response) => {
    response.flushHeaders();
    writeChunk(response, Buffer.from("plain"));
    response.end();
  };
  const text = await new Promise<string>((resolve, reject) => {
    let received = "";
    const socket = connect(port, "127.0.0.1");
    socket.on("data", (data) => received += String(data));
    socket.on("end", () => resolve(received));
    socket.on("error", reject);
    socket.write("GET / HTTP/1.0\r\n\r\n");
  });
  assert.is(text.split("\r\n\r\n")[1], "plain");
});

test("pipelined requests are answered in order", async () => {
  let requestCount = 0;
  respond = (response) => {
    requestCount += 1;
    const name = `answer ${requestCount}`;
    setTimeout(() => {
      response.flushHeaders();
      writeChunk(response, Buffer.from(name));
      response.end();
    }, requestCount === 1 ? 50 : 0);
  };
  const text = await new Promise<string>((resolve, reject) => {
    let received = "";
    const socket = connect(port, "127.0.0.1");
    socket.on("data", (data) => {
      received += String(data);
      if (received.split("0\r\n\r\n").length === 3) socket.end();
    });
    socket.on("close", () => resolve(received));
    socket.on("error", reject);
    const get = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write(get + get);
  });
  assert.ok(text.indexOf("answer 1") < text.indexOf("answer 2"));
  assert.is(text.match(/8\r\nanswer \d\r\n0\r\n\r\n/g)?.length, 2);
});

test("a client that does not read is reported as needing a drain", async () => {
  const isDrainNeeded = new Promise<boolean>((resolve) => {
    respond = (response) => {
      response.flushHeaders();
      const chunk = Buffer.alloc(1_000_000);
      let writes = 0;
      while (writeChunk(response, chunk) && writes < 200) writes += 1;
      resolve(needsDrain(response) && writes < 200);
      response.destroy();
    };
  });
  const socket = connect(port, "127.0.0.1");
  socket.pause();
  socket.on("error", () => {});
  socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  assert.ok(await isDrainNeeded);
  socket.destroy();
});

test.run();
