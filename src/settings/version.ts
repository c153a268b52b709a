/** Package version, printed by `--version`. */
export const VERSION = "0.1.0";
