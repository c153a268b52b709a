/** Reads the operators' port of one daemon. */
import { Err, Ok, type Result } from "ts-results-es";
import { request } from "undici";

const TIMEOUT_MS = 3_000;

/** Gets a JSON answer from the daemon's operators' port. */
export async function fetchFromDaemon<T>(
  address: string,
  path: string,
): Promise<Result<T, string>> {
  try {
    const response = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return Err(
        `${address}${path}: expected status 200, found ${response.statusCode}`,
      );
    }
    return Ok(await response.body.json() as T);
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    return Err(`${address}${path}: ${text}`);
  }
}
