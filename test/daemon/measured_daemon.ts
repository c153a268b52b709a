/** A site's daemon as a measured process with a small heap and few descriptors. */
import { SHORT_CORE_SETTINGS, type Site } from "../../scripts/site.ts";
import { MeasuredProcess } from "../measured_process.ts";

export function startMeasuredDaemon(
  site: Site,
  { id, failureDomain }: { id: string; failureDomain: string },
): MeasuredProcess {
  const { callers, peers, operators } = site.fleet.getDaemon(id);
  return MeasuredProcess.start("src/daemon/main.ts", {
    id,
    failureDomain,
    callers: { listen: callers },
    peers: { listen: peers },
    operators: { listen: operators },
    platform: {
      configuration: site.configuration.address,
      hostList: site.hostList.address,
      pollIntervalMs: 300,
    },
    core: SHORT_CORE_SETTINGS,
    logLevel: "silent",
  }, ["-s"]);
}
