/**
 * Tells a connection that the remote end reset from one that it closed. Node.js
 * reports a reset that arrives together with the last bytes as a normal end, and
 * a body without length or chunks would then be taken for complete.
 */
import type { Socket } from "node:net";

const watchedSockets = new WeakSet<Socket>();
const resetSockets = new WeakSet<Socket>();

/**
 * Records whether the connection is reset. After a reset the socket has no
 * remote address any more; nothing may read that address earlier, since Node.js
 * remembers it.
 */
export function watchForReset(socket: Socket): void {
  if (watchedSockets.has(socket)) return;
  watchedSockets.add(socket);
  socket.prependListener("end", () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") resetSockets.add(socket);
  });
}

/** Returns whether a watched connection has been reset by the remote end. */
export function hasBeenReset(socket: Socket): boolean {
  return resetSockets.has(socket);
}
