/**
 * Encoding in which gateways pass changes of the published store entries to
 * each other: gzipped JSON. Values are the raw bytes as Latin-1 text, which
 * compresses better than base64.
 */
import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import * as z from "zod";
import type { StoreBatch } from "../core/view/store_mirror.ts";

/**
 * Limit on the decompressed size of a batch: the upstream entries of 900 hosts,
 * or a configuration of 4 MB in base64.
 */
const MAX_DECOMPRESSED_BYTES = 24 * 1024 * 1024;

/** A peer's answer to a request for changes of the published view. */
export interface PeerBatch {
  batch: StoreBatch;
  isAfterOutage: boolean;
}

const peerBatchSchema = z.object({
  batch: z.object({
    /** Absent in the batches of the previous release. */
    era: z.number().int().nonnegative().default(0),
    isSnapshot: z.boolean(),
    asOf: z.number(),
    changes: z.array(z.object({
      key: z.string(),
      revision: z.number(),
      value: z.string().optional(),
      /** Absent in the batches of the previous release. */
      mayHaveLapsed: z.boolean().optional(),
    })),
  }),
  isAfterOutage: z.boolean(),
});

export function encodePeerBatch(peerBatch: PeerBatch): Buffer {
  return gzipSync(
    JSON.stringify(changeEncoding(peerBatch, "base64", "latin1")),
  );
}

/**
 * Throws if the bytes aren't a valid batch or exceed the decompressed size
 * limit.
 */
export function decodePeerBatch(bytes: Buffer): PeerBatch {
  const text = gunzipSync(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES });
  const peerBatch = peerBatchSchema.parse(JSON.parse(text.toString()));
  return changeEncoding(peerBatch, "latin1", "base64");
}

function changeEncoding(
  peerBatch: z.infer<typeof peerBatchSchema>,
  from: BufferEncoding,
  to: BufferEncoding,
): PeerBatch {
  const changes = peerBatch.batch.changes.map((change) => ({
    ...change,
    value: change.value === undefined
      ? undefined
      : Buffer.from(change.value, from).toString(to),
  }));
  return { ...peerBatch, batch: { ...peerBatch.batch, changes } };
}
