/** Life of a daemon, from its start to its stop. */
import { Chart, type ChartStructure } from "./chart.ts";

export type DaemonState = "starting" | "serving" | "stopping" | "stopped";
export type DaemonTrigger = "tablesInForce" | "stopRequested" | "drained";

const DAEMON_CHART: ChartStructure<DaemonState, DaemonTrigger> = {
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

export const daemonChart: Chart<DaemonState, DaemonTrigger> = new Chart(
  DAEMON_CHART,
);
