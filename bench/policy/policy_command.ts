/** `bench policy`: measures routing and residency policies on the decisions of the core. */
import type { Subcommand } from "../subcommand.ts";

export const policyCommand: Subcommand = {
  name: "policy",
  description: "Measure load stalls, batch fill and goodput by policy",
  options: [],
  run() {
    throw new Error("Expected a policy bench, found none yet");
  },
};
