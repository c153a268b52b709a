/** Lifecycle of an adapter slot, as tracked by its upstream's owner. */
import { StateChart, type StateChartDefinition } from "./state_chart.ts";

export type SlotState =
  | "loading"
  | "resident"
  | "evicting"
  | "uncertain"
  | "free";
export type SlotTrigger =
  | "orderDone"
  | "orderFailed"
  | "orderUnknown"
  | "evictOrdered"
  | "seenResident"
  | "seenAbsent"
  | "upstreamRestarted";

const SLOT_CHART: StateChartDefinition<SlotState, SlotTrigger> = {
  id: "slot",
  initial: "loading",
  states: {
    loading: {
      on: {
        orderDone: { target: "resident" },
        orderFailed: { target: "free" },
        orderUnknown: { target: "uncertain" },
        upstreamRestarted: { target: "uncertain" },
      },
    },
    resident: {
      on: {
        evictOrdered: { target: "evicting" },
        seenAbsent: { target: "free" },
        upstreamRestarted: { target: "free" },
      },
    },
    evicting: {
      on: {
        orderDone: { target: "free" },
        orderFailed: { target: "uncertain" },
        orderUnknown: { target: "uncertain" },
        upstreamRestarted: { target: "uncertain" },
      },
    },
    uncertain: {
      on: {
        seenResident: { target: "resident" },
        seenAbsent: { target: "free" },
        upstreamRestarted: { target: "uncertain" },
      },
    },
    free: { on: {} },
  },
};

export const slotChart: StateChart<SlotState, SlotTrigger> = new StateChart(
  SLOT_CHART,
);
