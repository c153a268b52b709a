/** Lifecycle of one daemon's ownership of one upstream. */
import { StateChart, type StateChartDefinition } from "./state_chart.ts";

export type OwnerState = "reading" | "claiming" | "owning" | "deposed";
export type OwnerTrigger =
  | "stateRead"
  | "claimDone"
  | "claimFailed"
  | "higherFencingSeen"
  | "upstreamRestarted"
  | "retryDue";

const OWNER_CHART: StateChartDefinition<OwnerState, OwnerTrigger> = {
  id: "owner",
  initial: "reading",
  states: {
    reading: { on: { stateRead: { target: "claiming" } } },
    claiming: {
      on: {
        claimDone: { target: "owning" },
        claimFailed: { target: "reading" },
        upstreamRestarted: { target: "reading" },
      },
    },
    owning: {
      on: {
        higherFencingSeen: { target: "deposed" },
        upstreamRestarted: { target: "reading" },
      },
    },
    deposed: { on: { retryDue: { target: "reading" } } },
  },
};

export const ownerChart: StateChart<OwnerState, OwnerTrigger> = new StateChart(
  OWNER_CHART,
);
