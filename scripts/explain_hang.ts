/**
 * Preloaded before each test file: when the test runner sends SIGTERM to a file
 * that exceeded its time limit, prints the resources that keep its process
 * alive.
 */
import { Socket } from "node:net";
import process from "node:process";

process.on("SIGTERM", () => {
  console.error(
    "Process did not exit; active resources:",
    process.getActiveResourcesInfo().join(", "),
  );
  for (const handle of listActiveHandles()) {
    const name = (handle as object).constructor.name;
    console.error(name, handle instanceof Socket ? describe(handle) : "");
  }
  process.exit(1);
});

/**
 * Node.js lists the handles only through an undocumented method, which its
 * types omit.
 */
function listActiveHandles(): unknown[] {
  const { _getActiveHandles: list } = process as unknown as {
    _getActiveHandles?: () => unknown[];
  };
  return list?.() ?? [];
}

function describe(socket: Socket): object {
  const { localPort, remotePort, connecting, destroyed } = socket;
  const { readableEnded, writableEnded, writableLength } = socket;
  return {
    localPort,
    remotePort,
    connecting,
    destroyed,
    readableEnded,
    writableEnded,
    writableLength,
  };
}
