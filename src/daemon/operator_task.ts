/** The task that owns the operators' port: health, readiness, status, routes and the log level. */
import type { Server } from "node:http";
import { performance } from "node:perf_hooks";
import express, { type Request, type Response } from "express";
import * as z from "zod";
import type { DaemonCore } from "../core/daemon_core.ts";
import { LOG_LEVELS } from "../settings/log_level.ts";
import { close, createHttpServer, listen } from "./http_server.ts";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { describeError } from "./step_error.ts";

/** Peers, upstreams and platform with which the daemon stops communicating, to simulate a network partition in tests. */
export interface NetworkPartition {
  peers: string[];
  upstreams: string[];
  platform: boolean;
}

export interface OperatorTaskOptions {
  listenAddress: string;
  core: DaemonCore;
  metrics: Metrics;
  logger: Logger;
  /** Limits what clients of the port take of the process. */
  limitClients: (server: Server) => void;
  /** Undefined unless the setting `allowCuts` is on. */
  applyPartition: ((partition: NetworkPartition) => void) | undefined;
}

const partitionSchema = z.object({
  peers: z.array(z.string()).default([]),
  upstreams: z.array(z.string()).default([]),
  platform: z.boolean().default(false),
});

const logLevelSchema = z.object({ level: z.enum(LOG_LEVELS) });

export class OperatorTask {
  readonly #options: OperatorTaskOptions;
  readonly #server: Server;

  constructor(options: OperatorTaskOptions) {
    this.#options = options;
    this.#server = createHttpServer(this.#createApp());
    options.limitClients(this.#server);
  }

  /** Listens on the operators' port; returns its number. */
  async start(): Promise<number> {
    return await listen(this.#server, this.#options.listenAddress);
  }

  async stop(): Promise<void> {
    await close(this.#server);
  }

  #createApp(): express.Express {
    const { core, metrics, logger, applyPartition } = this.#options;
    const app = express();
    app.disable("x-powered-by");
    app.use(express.json());
    app.get("/healthz", (_request, response) => {
      response.json({ id: core.id, state: core.state });
    });
    app.get("/readyz", (_request, response) => {
      response.status(core.state === "serving" ? 200 : 503);
      response.json({ id: core.id, state: core.state });
    });
    app.get("/status", (_request, response) => {
      response.json({
        ...core.describe(performance.now()),
        metrics: metrics.getSnapshot(),
      });
    });
    app.get("/routes", (_request, response) => {
      response.json({
        revision: core.getSnapshot()?.revision ?? 0,
        routes: core.getSnapshot()?.getRoutes() ?? [],
      });
    });
    app.get("/explain/:route", (request, response) => {
      const route = String(request.params["route"]);
      if (!core.getSnapshot()?.getRouteByName(route)) {
        response.status(404).json({ error: `No route is named ${route}` });
        return;
      }
      const ranked = core.explainRoute(route, performance.now());
      response.json({
        route,
        upstreams: ranked.map((entry) => ({
          id: entry.candidate.host.id,
          owner: entry.candidate.ownerId,
          residency: entry.residency,
          cost: entry.cost,
        })),
      });
    });
    app.get("/log-level", (_request, response) => {
      response.json({ level: logger.getLevel() });
    });
    app.put("/log-level", (request, response) => {
      const parsed = logLevelSchema.safeParse(request.body);
      if (!parsed.success) {
        response.status(400).json({
          error: `Expected a level of ${LOG_LEVELS.join(", ")}`,
        });
        return;
      }
      logger.setLevel(parsed.data.level);
      response.json(parsed.data);
    });
    app.put("/cut", (request, response) => {
      const parsed = partitionSchema.safeParse(request.body);
      if (!applyPartition || !parsed.success) {
        response.status(applyPartition ? 400 : 403).json({
          error: "Not allowed",
        });
        return;
      }
      applyPartition(parsed.data);
      response.json(parsed.data);
    });
    app.use((_request: Request, response: Response) => {
      response.status(404).json({ error: "Expected a known path" });
    });
    app.use((
      error: unknown,
      _request: Request,
      response: Response,
      _next: express.NextFunction,
    ) => {
      response.status(400).json({ error: describeError(error) });
    });
    return app;
  }
}
