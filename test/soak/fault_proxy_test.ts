/**
 * Guards against connections that stay open after the fault proxy has stopped.
 * A fault can prevent the close of the caller's connection from reaching the
 * target; stop() must then close the connection to the target, too.
 */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { FaultProxy, ProxyFault } from "./fault_proxy.ts";

/** Generous, since a close on loopback takes well under 1 ms. */
const CLOSE_TIMEOUT_MS = 500;

for (const fault of Object.values(ProxyFault)) {
  test(`stop() closes the connection to the target after the caller closed its own (${fault})`, async () => {
    const accepted: Socket[] = [];
    const target = createServer((socket) => {
      socket.on("error", () => {});
      socket.resume();
      accepted.push(socket);
    });
    target.listen(0, "127.0.0.1");
    await once(target, "listening");
    const proxy = new FaultProxy(
      `127.0.0.1:${(target.address() as AddressInfo).port}`,
    );
    await proxy.start();
    const caller = connect(
      Number(proxy.address.split(":")[1]),
      "127.0.0.1",
    );
    await once(caller, "connect");
    caller.write("asked");
    while (accepted.length === 0) await waitMs(5);
    proxy.fault = fault;
    caller.end();
    caller.destroy();
    await waitMs(20);
    proxy.stop();
    const socket = accepted[0] as Socket;
    if (!socket.closed) {
      await Promise.race([
        new Promise((resolve) => socket.once("close", resolve)),
        waitMs(CLOSE_TIMEOUT_MS),
      ]);
    }
    const isClosed = socket.closed;
    socket.destroy();
    target.close();
    assert.ok(isClosed, "the connection to the target is still open");
  });
}

test.run();
