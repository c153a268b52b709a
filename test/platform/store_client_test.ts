/** Paged reads of the store while it goes back to an older copy. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PublishedSet } from "../../src/gateway/ports.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

/** Answers each call with the next page, under that page's era. */
async function startPages(
  pages: { era: string | undefined; key: string; isLast: boolean }[],
): Promise<Server> {
  const server = createServer((_request, response) => {
    const page = pages.shift();
    if (page?.era !== undefined) response.setHeader("Store-Era", page.era);
    response.end(JSON.stringify({
      items: [{ key: page?.key, rev: 1, value: "" }],
      truncated: !page?.isLast,
      as_of: 5,
    }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function readPages(eras: (string | undefined)[]) {
  const server = await startPages(eras.map((era, index) => ({
    era,
    key: `servers/${index}`,
    isLast: index === eras.length - 1,
  })));
  const { port } = server.address() as AddressInfo;
  const store = new StoreClient(`127.0.0.1:${port}`, UNLIMITED_MEMORY);
  try {
    return await store.readAll(PublishedSet.Upstreams);
  } finally {
    store.closeConnections();
    server.close();
  }
}

test("pages of one era are joined", async () => {
  const reading = await readPages(["4", "4", "4"]);
  assert.is(reading.era, 4);
  assert.is(reading.changes.length, 3);
});

test("pages of two eras are not joined", async () => {
  try {
    await readPages(["4", "5"]);
    assert.unreachable();
  } catch (error) {
    assert.match(String(error), "expected a page of era 4, got one of era 5");
  }
});

for (const era of [undefined, "", "-1", "1.5", "x", "9".repeat(30)]) {
  test(`the era ${JSON.stringify(era)} is unknown`, async () => {
    assert.is((await readPages([era])).era, undefined);
  });
}

test.run();
