/** Fake plain service that records each call it runs. */
import { randomUUID } from "node:crypto";
import { FakeServer, waitMs } from "./fake_server.ts";
import { createAnswerIdentity, type RunFault } from "./run_fault.ts";

export interface ServiceFaults {
  /**
   * Number of upcoming calls whose connection is closed after they ran, without
   * an answer.
   */
  cutAnswers: number;
  /** Number of upcoming calls that are refused before they start. */
  refuseRuns: number;
  runTimeMs: number;
  leaving: boolean;
  /** Faults of the upcoming calls, one per call. */
  nextRuns: RunFault[];
}

export class FakeService extends FakeServer<ServiceFaults> {
  /** JSON bodies of the calls that ran. */
  readonly ran: string[] = [];
  #incarnation = randomUUID().slice(0, 8);
  #running = 0;

  constructor() {
    super({
      cutAnswers: 0,
      refuseRuns: 0,
      runTimeMs: 20,
      leaving: false,
      nextRuns: [],
    });
    this.app.get("/state", (_request, response) => {
      response.json({
        incarnation: this.#incarnation,
        leaving: this.faults.leaving,
        running: this.#running,
      });
    });
    this.app.post("/services/:name", async (request, response) => {
      if (this.faults.refuseRuns > 0) {
        this.faults.refuseRuns -= 1;
        response.status(503).json({ error: "refused" });
        return;
      }
      const fault = this.faults.nextRuns.shift();
      if (fault?.kind === "answerStatus") {
        response.status(fault.status).json({ error: "fault" });
        return;
      }
      this.#running += 1;
      this.ran.push(JSON.stringify(request.body));
      await waitMs(this.faults.runTimeMs);
      this.#running -= 1;
      if (this.faults.cutAnswers > 0) {
        this.faults.cutAnswers -= 1;
        response.socket?.destroy();
        return;
      }
      const identity = createAnswerIdentity({
        id: request.get("x-request-id") ?? "",
        model: "",
      }, fault);
      response.set("x-request-id", identity.requestId);
      response.json({
        service: request.params["name"],
        received: request.body,
        run: this.ran.length,
      });
    });
    this.app.get("/history", (_request, response) => {
      response.json({ ran: this.ran });
    });
  }
}
