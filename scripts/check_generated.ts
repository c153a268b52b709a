/**
 * Checks that the committed protocol code is identical to what the generator
 * writes.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

const GENERATED_FILE = "src/protocol/generated/peer_pb.ts";

const folder = mkdtempSync(join(tmpdir(), "pistachiohatch-generated-"));
const run = spawnSync("buf", ["generate", "--output", folder], {
  stdio: "inherit",
});
const isSame = run.status === 0 &&
  readFileSync(join(folder, GENERATED_FILE), "utf8") ===
    readFileSync(GENERATED_FILE, "utf8");
rmSync(folder, { recursive: true, force: true });
if (!isSame) {
  console.error(
    `Expected ${GENERATED_FILE} to match proto/peer.proto, found a difference; run npm run generate`,
  );
}
process.exit(isSame ? 0 : 1);
