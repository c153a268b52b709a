/** The proxy of the soak leaves nothing open when it stops. */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { FaultProxy, ProxyFault } from "./fault_proxy.ts";

/** Long on loopback, where a close takes well under a millisecond. */
const CLOSE_MS = 500;

for (const fault of Object.values(ProxyFault)) {
  test(`a stop closes the target's side of a caller who left (${fault})`, async () => {
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
        waitMs(CLOSE_MS),
      ]);
    }
    const isClosed = socket.closed;
    socket.destroy();
    target.close();
    assert.ok(isClosed, "the target's side is still open");
  });
}

test.run();
