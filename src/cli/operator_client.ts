/** Reads the operators' port of one daemon. */
import { Err, Ok, type Result } from "ts-results-es";
import { request } from "undici";
import { describeError } from "../daemon/step_error.ts";

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
      const text = await response.body.text();
      return Err(
        `${address}${path}: expected status 200, found ${response.statusCode} ${text}`,
      );
    }
    return Ok(await response.body.json() as T);
  } catch (error) {
    return Err(
      `${address}${path}: expected a daemon's answer, found ${
        describeError(error)
      }`,
    );
  }
}
