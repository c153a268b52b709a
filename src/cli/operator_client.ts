/** HTTP client of the endpoints that daemons and gateways serve to operators. */
import { Err, Ok, type Result } from "ts-results-es";
import { type Dispatcher, request } from "undici";
import { describeError } from "../daemon/step_error.ts";

const TIMEOUT_MS = 3_000;

/** Fetches JSON from a daemon's operators' port; the error is a message. */
export function fetchFromDaemon<T>(
  address: string,
  path: string,
): Promise<Result<T, string>> {
  return fetchBody(
    address,
    path,
    async (body) => await body.json() as T,
  );
}

/** Fetches a response body as text; the error is a message. */
export function fetchText(
  address: string,
  path: string,
): Promise<Result<string, string>> {
  return fetchBody(address, path, (body) => body.text());
}

async function fetchBody<T>(
  address: string,
  path: string,
  read: (body: Dispatcher.ResponseData["body"]) => Promise<T>,
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
    return Ok(await read(response.body));
  } catch (error) {
    return Err(
      `${address}${path}: expected a response, found ${describeError(error)}`,
    );
  }
}
