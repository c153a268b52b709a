/**
 * Loaded before each test file: when the runner ends a file that does not end by
 * itself, prints what kept its process alive.
 */
import { Socket } from "node:net";
import process from "node:process";

process.on("SIGTERM", () => {
  console.error("did not end:", process.getActiveResourcesInfo().join(", "));
  for (const handle of listActiveHandles()) {
    const name = (handle as object).constructor.name;
    console.error(name, handle instanceof Socket ? describe(handle) : "");
  }
  process.exit(1);
});

/** Node.js names the handles themselves only in a call that its types leave out. */
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
