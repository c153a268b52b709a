/** Figures of benchmark days, in the form that the report draws. */

/** Outcomes of the requests of one kind, failure domain or time span. */
export interface OutcomeShares {
  /** Kind, failure domain, or second at which the time span starts. */
  name: string;
  asked: number;
  inObjective: number;
  late: number;
  refused: number;
  failed: number;
  /** Earned score as a fraction of the best possible one, 0 to 1. */
  worth: number;
}

/** A cost of the day, such as a number of calls, and its deduction. */
export interface Price {
  name: string;
  /** In the unit that the name gives. */
  amount: number;
  /** Deduction from the day's score. */
  worth: number;
}

/** The full report of one benchmark day. */
export interface DayFigures {
  name: string;
  worth: number;
  parts: { name: string; weight: number; worth: number }[];
  prices: Price[];
  kinds: OutcomeShares[];
  failureDomains: OutcomeShares[];
  spans: OutcomeShares[];
}

/** One benchmark run, as the journal stores it. */
export interface RunFigures {
  startedAt: string;
  /** Commit that was measured. */
  commit: string;
  /** Whether the work tree differed from that commit. */
  isDirty: boolean;
  why: string;
  site: string;
  days: { name: string; worth: number }[];
}
