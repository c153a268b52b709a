/** Version of the package, as its programs tell it. */
export const VERSION = "0.1.0";
