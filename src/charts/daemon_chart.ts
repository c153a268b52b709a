/** Lifecycle of a daemon, from start to stop. */
import { StateChart, type StateChartDefinition } from "./state_chart.ts";

export type DaemonState = "starting" | "serving" | "stopping" | "stopped";
export type DaemonTrigger = "tablesInForce" | "stopRequested" | "drained";

const DAEMON_CHART: StateChartDefinition<DaemonState, DaemonTrigger> = {
  id: "daemon",
  initial: "starting",
  states: {
    starting: {
      on: {
        tablesInForce: { target: "serving" },
        stopRequested: { target: "stopping" },
      },
    },
    serving: { on: { stopRequested: { target: "stopping" } } },
    stopping: { on: { drained: { target: "stopped" } } },
    stopped: { on: {} },
  },
};

export const daemonChart: StateChart<DaemonState, DaemonTrigger> =
  new StateChart(
    DAEMON_CHART,
  );
