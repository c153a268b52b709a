/**
 * Waits until the process has read what already lies in its sockets' buffers. A
 * process that was suspended, or has no processor time, finds there a request
 * and the close of its connection, and reads them in two turns of its event
 * loop: the close has to be known before the request is passed on.
 */

/** Resolves when all connections with input have been read once in this turn. */
export function awaitTurnEnd(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Resolves when the input that follows what has been read in this turn has been
 * read, too, if it had arrived.
 */
export async function awaitUnreadInput(): Promise<void> {
  await awaitTurnEnd();
  await awaitTurnEnd();
}
