/** Lifecycle of a request in its entry daemon. */
import { StateChart, type StateChartDefinition } from "./state_chart.ts";

export type RequestState =
  | "claimingTicket"
  | "unassigned"
  | "leasing"
  | "running"
  | "checkingForCrash"
  | "done";
export type RequestTrigger =
  | "ticketGranted"
  | "assigned"
  | "leaseLost"
  | "dispatched"
  | "attemptRetried"
  | "upstreamSuspected"
  | "finished";

const REQUEST_CHART: StateChartDefinition<RequestState, RequestTrigger> = {
  id: "request",
  initial: "unassigned",
  states: {
    claimingTicket: {
      on: {
        ticketGranted: { target: "unassigned" },
        finished: { target: "done" },
      },
    },
    unassigned: {
      on: { assigned: { target: "leasing" }, finished: { target: "done" } },
    },
    leasing: {
      on: {
        dispatched: { target: "running" },
        leaseLost: { target: "unassigned" },
        finished: { target: "done" },
      },
    },
    running: {
      on: {
        attemptRetried: { target: "unassigned" },
        upstreamSuspected: { target: "checkingForCrash" },
        finished: { target: "done" },
      },
    },
    checkingForCrash: {
      on: {
        attemptRetried: { target: "unassigned" },
        finished: { target: "done" },
      },
    },
    done: { on: {} },
  },
};

export const requestChart: StateChart<RequestState, RequestTrigger> =
  new StateChart(
    REQUEST_CHART,
  );
