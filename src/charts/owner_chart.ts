/** Life of the ownership of one upstream in one daemon. */
import { Chart, type ChartStructure } from "./chart.ts";

export type OwnerState = "reading" | "claiming" | "owning" | "deposed";
export type OwnerTrigger =
  | "stateRead"
  | "claimDone"
  | "claimFailed"
  | "higherFencingSeen"
  | "upstreamRestarted"
  | "retryDue";

const OWNER_CHART: ChartStructure<OwnerState, OwnerTrigger> = {
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

export const ownerChart: Chart<OwnerState, OwnerTrigger> = new Chart(
  OWNER_CHART,
);
