/**
 * Chooses the build that runs each host of a test fleet. With the environment
 * variable below set to the folder of another checkout, every second host runs
 * that build, so that the tests play a fleet in the middle of an upgrade.
 */
import { join } from "node:path";
import process from "node:process";

/** Folder of a checkout with installed packages; unset, all hosts run this one. */
export const OTHER_BUILD_VARIABLE = "MIXED_FLEET_OTHER_BUILD";
/** 0 or 1: whether hosts of even or odd index run the other build. */
export const OTHER_PARITY_VARIABLE = "MIXED_FLEET_OTHER_PARITY";

/** Returns the path of a program for the host with this index. */
export function chooseProgram(program: string, hostIndex: number): string {
  const otherBuild = process.env[OTHER_BUILD_VARIABLE];
  const otherParity = Number(process.env[OTHER_PARITY_VARIABLE] ?? 0);
  return otherBuild && hostIndex % 2 === otherParity
    ? join(otherBuild, program)
    : program;
}
