/** Keeps many streams open at once and counts the received events. */
import type { Buffer } from "node:buffer";
import { Agent } from "undici";

const NEWLINE = 0x0a;

export interface StreamClientOptions {
  address: string;
  token: string;
  models: readonly string[];
}

export class StreamClient {
  readonly #options: StreamClientOptions;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  #events = 0;
  #open = 0;
  #isStopped = false;

  constructor(options: StreamClientOptions) {
    this.#options = options;
  }

  get eventCount(): number {
    return this.#events;
  }

  get openCount(): number {
    return this.#open;
  }

  /** Opens the streams and reopens each that ends, until the client stops. */
  start(streams: number): void {
    for (let index = 0; index < streams; index += 1) {
      void this.#runStream(index);
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#agent.destroy();
  }

  async #runStream(index: number): Promise<void> {
    const { models } = this.#options;
    const model = models[index % models.length] ?? "";
    while (!this.#isStopped) {
      try {
        await this.#readStream(model);
      } catch (error) {
        if (!this.#isStopped) throw error;
      }
    }
  }

  async #readStream(model: string): Promise<void> {
    const { address, token } = this.#options;
    const { statusCode, body } = await this.#agent.request({
      origin: `http://${address}`,
      path: "/v1/chat/completions",
      method: "POST",
      headers: {
        "authorization": `Bearer ${token}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({ model, stream: true, messages: [] }),
    });
    if (statusCode !== 200) {
      throw new Error(
        `Expected status 200 from ${address}, found ${statusCode}: ${await body
          .text()}`,
      );
    }
    this.#open += 1;
    await new Promise<void>((resolve, reject) => {
      body.on("data", (chunk: Buffer) => this.#countEvents(chunk));
      body.on("end", resolve);
      body.on("error", reject);
    });
    this.#open -= 1;
  }

  #countEvents(chunk: Buffer): void {
    for (let index = 1; index < chunk.length; index += 1) {
      const isBoundary = chunk[index] === NEWLINE &&
        chunk[index - 1] === NEWLINE;
      if (isBoundary) this.#events += 1;
    }
  }
}
