/**
 * The copy of the store never goes back to an older revision, whether changes
 * come from the store or from peers.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type StoreBatch,
  type StoreChange,
  StoreMirror,
} from "../../../src/core/view/store_mirror.ts";
import type { StorePosition } from "../../../src/core/view/store_position.ts";

function put(key: string, revision: number, value = "v") {
  return { key, revision, value };
}

function remove(
  key: string,
  revision: number,
  mayHaveLapsed = false,
): StoreChange {
  return { key, revision, value: undefined, mayHaveLapsed };
}

test("an older revision never replaces a newer one", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    era: 0,
    isSnapshot: true,
    asOf: 9,
    changes: [put("a", 9, "new")],
  });
  const applied = mirror.applyBatch({
    era: 0,
    isSnapshot: false,
    asOf: 5,
    changes: [put("a", 5, "old")],
  });
  assert.equal(applied, []);
  assert.is(mirror.asOf, 9);
  assert.is(
    mirror.buildBatchAfter({ era: 0, revision: 0 }).changes[0]?.value,
    "new",
  );
});

test("a snapshot removes the keys that it does not list, unless they are newer", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    era: 0,
    isSnapshot: false,
    asOf: 12,
    changes: [put("a", 3), put("b", 12)],
  });
  const applied = mirror.applyBatch({
    era: 0,
    isSnapshot: true,
    asOf: 10,
    changes: [],
  });
  assert.equal(applied, [remove("a", 10)]);
  assert.equal(mirror.buildBatchAfter({ era: 0, revision: 0 }).changes, [
    put("b", 12),
  ]);
});

test("an older change does not restore a removed key, a newer one does", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    era: 0,
    isSnapshot: true,
    asOf: 1,
    changes: [put("a", 1)],
  });
  mirror.applyBatch({
    era: 0,
    isSnapshot: false,
    asOf: 4,
    changes: [{ key: "a", revision: 4, value: undefined }],
  });
  assert.equal(
    mirror.applyBatch({
      era: 0,
      isSnapshot: false,
      asOf: 4,
      changes: [put("a", 3)],
    }),
    [],
  );
  const applied = mirror.applyBatch({
    era: 0,
    isSnapshot: false,
    asOf: 6,
    changes: [put("a", 6)],
  });
  assert.is(applied.length, 1);
});

test("a peer that lags behind gets changes and removals, one without data a snapshot", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    era: 0,
    isSnapshot: true,
    asOf: 3,
    changes: [put("a", 1), put("b", 3)],
  });
  mirror.applyBatch({
    era: 0,
    isSnapshot: false,
    asOf: 5,
    changes: [{ key: "a", revision: 5, value: undefined }],
  });
  const delta = mirror.buildBatchAfter({ era: 0, revision: 3 });
  assert.not(delta.isSnapshot);
  assert.equal(delta.changes, [remove("a", 5)]);
  const whole = mirror.buildBatchAfter({ era: 0, revision: 0 });
  assert.ok(whole.isSnapshot);
  assert.equal(whole.changes, [put("b", 3)]);
});

test("a peer that lags behind the remembered removals gets a snapshot", () => {
  const mirror = new StoreMirror();
  for (let revision = 1; revision <= 2_100; revision += 1) {
    mirror.applyBatch({
      era: 0,
      isSnapshot: false,
      asOf: revision,
      changes: [{ key: `k${revision}`, revision, value: undefined }],
    });
  }
  assert.ok(mirror.buildBatchAfter({ era: 0, revision: 50 }).isSnapshot);
  assert.not(mirror.buildBatchAfter({ era: 0, revision: 2_000 }).isSnapshot);
});

const BEFORE_RESTORE: StoreBatch = {
  era: 1,
  isSnapshot: true,
  asOf: 90,
  changes: [put("kept", 10), put("lost", 80), put("changed", 85, "new")],
};
const RESTORED: StoreBatch = {
  era: 2,
  isSnapshot: true,
  asOf: 60,
  changes: [put("kept", 10), put("changed", 50, "old")],
};

test("a snapshot of a later era replaces entries of higher revisions, and later changes follow it", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch(BEFORE_RESTORE);
  assert.equal(mirror.applyBatch(RESTORED), [
    put("changed", 50, "old"),
    remove("lost", 60),
  ]);
  assert.equal(mirror.position, { era: 2, revision: 60 });
  const next = put("changed", 61, "again");
  assert.equal(
    mirror.applyBatch({ era: 2, isSnapshot: false, asOf: 61, changes: [next] }),
    [next],
  );
});

test("changes of a later era without its snapshot, and batches of an earlier era, are ignored", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch(RESTORED);
  const later = {
    era: 3,
    isSnapshot: false,
    asOf: 99,
    changes: [put("a", 99)],
  };
  assert.equal(mirror.applyBatch(later), []);
  assert.equal(mirror.applyBatch(BEFORE_RESTORE), []);
  assert.equal(mirror.position, { era: 2, revision: 60 });
});

test("a peer whose data is of another era gets a snapshot", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch(BEFORE_RESTORE);
  mirror.applyBatch(RESTORED);
  assert.ok(mirror.buildBatchAfter({ era: 1, revision: 90 }).isSnapshot);
  assert.not(mirror.buildBatchAfter({ era: 2, revision: 60 }).isSnapshot);
});

test("a removal keeps what its reader knew of an outage, also for peers that ask later", () => {
  const reader = new StoreMirror();
  reader.applyBatch({
    era: 1,
    isSnapshot: true,
    asOf: 3,
    changes: [put("a", 1), put("b", 2), put("c", 3)],
  });
  const removal = { era: 1, isSnapshot: false };
  const lapsed = { key: "a", revision: 4, value: undefined };
  reader.applyBatch({ ...removal, asOf: 4, changes: [lapsed] }, true);
  const removed = { key: "b", revision: 5, value: undefined };
  reader.applyBatch({ ...removal, asOf: 5, changes: [removed] }, false);
  const peer = new StoreMirror();
  const batch = reader.buildBatchAfter({ era: 1, revision: 3 });
  peer.applyBatch({ era: 1, isSnapshot: true, asOf: 3, changes: [] });
  assert.equal(peer.applyBatch(batch, true), [
    remove("a", 4, true),
    remove("b", 5, false),
  ]);
});

/** A store that is written to and goes back to its own older copies. */
class DrawnStore {
  era = 1;
  revision = 0;
  items = new Map<string, StoreChange>();
  #copies: { revision: number; items: Map<string, StoreChange> }[] = [];

  write(key: string, value: string | undefined): void {
    this.revision += 1;
    this.items.set(key, { key, revision: this.revision, value });
  }

  copy(): void {
    const { revision, items } = this;
    this.#copies.push({ revision, items: new Map(items) });
  }

  restore(): void {
    const copy = this.#copies.pop();
    if (!copy) return;
    this.revision = copy.revision;
    this.items = copy.items;
    this.#copies = [];
    this.era += 1;
  }

  read({ era, revision }: StorePosition): StoreBatch {
    const isSnapshot = era !== this.era;
    const changes = [...this.items.values()].filter((item) =>
      isSnapshot ? item.value !== undefined : item.revision > revision
    );
    return { era: this.era, isSnapshot, asOf: this.revision, changes };
  }

  list(): Record<string, string> {
    return Object.fromEntries(
      [...this.items.values()].flatMap(({ key, value }) =>
        value === undefined ? [] : [[key, value]]
      ),
    );
  }
}

test("after any writes, restores and batches that are late, all copies come to the store's content", () => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const random = xoroshiro128plus(seed);
    const draw = (limit: number) => uniformInt(random, 0, limit - 1);
    const store = new DrawnStore();
    const mirrors = Array.from({ length: 4 }, () => new StoreMirror());
    const pick = () => mirrors[draw(mirrors.length)] ?? new StoreMirror();
    const late: StoreBatch[] = [];
    const steps: (() => void)[] = [
      () =>
        store.write(
          `k${draw(6)}`,
          draw(4) === 0 ? undefined : `${seed}.${draw(1_000)}`,
        ),
      () => store.copy(),
      () => {
        if (draw(4) === 0) store.restore();
      },
      () => {
        const mirror = pick();
        const batch = store.read(mirror.position);
        if (draw(3) === 0) late.push(batch);
        mirror.applyBatch(batch);
      },
      () => {
        const mirror = pick();
        mirror.applyBatch(pick().buildBatchAfter(mirror.position));
      },
      () => {
        const batch = late.shift();
        if (batch?.isSnapshot) pick().applyBatch(batch);
      },
    ];
    for (let count = 0; count < 200; count += 1) steps[draw(steps.length)]?.();
    const [reader, ...peers] = mirrors;
    reader?.applyBatch(store.read(reader.position));
    for (const peer of peers) {
      if (reader) peer.applyBatch(reader.buildBatchAfter(peer.position));
    }
    for (const mirror of mirrors) {
      const content = mirror.buildBatchAfter({ era: 0, revision: 0 }).changes
        .map(({ key, value }) => [key, value]);
      assert.equal(Object.fromEntries(content), store.list(), `seed ${seed}`);
    }
  }
});

test.run();
