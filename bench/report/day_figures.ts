/** Figures of played days, in the form in which the report draws them. */

/** How the requests of one kind, failure domain or span of time ended. */
export interface EndingShares {
  /** Kind, failure domain, or second from which the span counts. */
  name: string;
  asked: number;
  inObjective: number;
  late: number;
  refused: number;
  failed: number;
  /** Part of what could be earned that was, 0 to 1. */
  worth: number;
}

export interface Price {
  name: string;
  /** In the unit that the name gives. */
  amount: number;
  /** What it takes off the day's worth. */
  worth: number;
}

/** One day in full. */
export interface DayFigures {
  name: string;
  worth: number;
  parts: { name: string; weight: number; worth: number }[];
  prices: Price[];
  kinds: EndingShares[];
  failureDomains: EndingShares[];
  spans: EndingShares[];
}

/** One run of the bench, as its journal keeps it. */
export interface RunFigures {
  startedAt: string;
  /** Commit that was played. */
  commit: string;
  /** Whether the sources differed from it. */
  isDirty: boolean;
  why: string;
  site: string;
  days: { name: string; worth: number }[];
}
