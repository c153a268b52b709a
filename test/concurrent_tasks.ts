/** Runs many short tasks of a test, some at a time. */

/** Resolves when all tasks have run, `limit` of them at the same time. */
export async function runTasks(
  tasks: (() => Promise<void>)[],
  limit: number,
): Promise<void> {
  const waiting = [...tasks];
  const worker = async (): Promise<void> => {
    for (let task = waiting.pop(); task; task = waiting.pop()) await task();
  };
  await Promise.all(Array.from({ length: limit }, worker));
}
