/**
 * Disseminates updates in the failure domain, in batches of updates that have
 * the same targets.
 */
import type { Effect } from "../effects.ts";
import type {
  HostListDelta,
  LoadUpdate,
  MemberRecord,
  SpreadMessage,
  StateUpdate,
  StrikeDigest,
  TablesDelta,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { listDisseminationTargets } from "./dissemination_tree.ts";

/** Time for which urgent updates wait to be batched with others. */
const URGENT_BATCHING_MS = 15;
/** Span of updates that originate at this daemon: the whole ring. */
const WHOLE_RING = Number.MAX_SAFE_INTEGER;

/** Updates to be sent over the same span. */
interface Batch {
  content: Omit<SpreadMessage, "kind" | "span">;
  since: Milliseconds;
  isUrgent: boolean;
}

export interface UpdateDisseminatorOptions {
  selfId: string;
  emit: (effect: Effect) => void;
  getRing: () => readonly string[];
  getLoadBatchingMs: () => Milliseconds;
}

export class UpdateDisseminator {
  readonly #options: UpdateDisseminatorOptions;
  readonly #batches = new Map<number, Batch>();

  constructor(options: UpdateDisseminatorOptions) {
    this.#options = options;
  }

  addMember(record: MemberRecord, now: Milliseconds): void {
    this.#getBatch(WHOLE_RING, true, now).members.push(record);
  }

  addState(update: StateUpdate, now: Milliseconds): void {
    this.#getBatch(WHOLE_RING, true, now).states.push(update);
  }

  addLoad(update: LoadUpdate, now: Milliseconds): void {
    this.#getBatch(WHOLE_RING, false, now).loads.push(update);
  }

  addTablesDelta(delta: TablesDelta, now: Milliseconds): void {
    this.#getBatch(WHOLE_RING, true, now).tablesDeltas.push(delta);
  }

  addHostListDelta(delta: HostListDelta, now: Milliseconds): void {
    this.#getBatch(WHOLE_RING, true, now).hostListDeltas.push(delta);
  }

  addStrikes(strikes: readonly StrikeDigest[], now: Milliseconds): void {
    if (strikes.length === 0) return;
    this.#getBatch(WHOLE_RING, true, now).strikes.push(...strikes);
  }

  /**
   * Forwards the updates that another daemon sent to the daemons in its span.
   */
  forward(message: SpreadMessage, now: Milliseconds): void {
    if (message.span === 0) return;
    const isUrgent = message.members.length > 0 || message.states.length > 0 ||
      message.tablesDeltas.length > 0 || message.hostListDeltas.length > 0 ||
      message.strikes.length > 0;
    const content = this.#getBatch(message.span, isUrgent, now);
    content.members.push(...message.members);
    content.states.push(...message.states);
    content.loads.push(...message.loads);
    content.tablesDeltas.push(...message.tablesDeltas);
    content.hostListDeltas.push(...message.hostListDeltas);
    content.strikes.push(...message.strikes);
  }

  /** Sends the batches that have waited long enough. */
  tick(now: Milliseconds): void {
    for (const [span, batch] of this.#batches) {
      const batchingMs = batch.isUrgent
        ? URGENT_BATCHING_MS
        : this.#options.getLoadBatchingMs();
      if (now - batch.since >= batchingMs) this.#send(span, batch);
    }
  }

  /** Sends all batches at once. */
  flush(): void {
    for (const [span, batch] of this.#batches) this.#send(span, batch);
  }

  #send(span: number, batch: Batch): void {
    this.#batches.delete(span);
    const { selfId, emit, getRing } = this.#options;
    for (const target of listDisseminationTargets(getRing(), selfId, span)) {
      emit({
        kind: "send",
        to: target.id,
        message: { kind: "spread", span: target.span, ...batch.content },
      });
    }
  }

  #getBatch(
    span: number,
    isUrgent: boolean,
    now: Milliseconds,
  ): Batch["content"] {
    const known = this.#batches.get(span);
    if (known) {
      if (isUrgent && !known.isUrgent) {
        known.isUrgent = true;
        known.since = now;
      }
      return known.content;
    }
    const content: Batch["content"] = {
      members: [],
      states: [],
      loads: [],
      tablesDeltas: [],
      hostListDeltas: [],
      strikes: [],
    };
    this.#batches.set(span, { content, since: now, isUrgent });
    return content;
  }
}
