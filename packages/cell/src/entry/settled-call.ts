/**
 * One call, served here or by another entry, whichever settles it first. The load it answers: an entry that the store
 * turns away, or whose connections to it have gone silent, while others reach it. Each call is idempotent by its job's
 * id, so that two entries may work on it at once.
 */
import { pause } from '../clock/pause.js';

/** Others are asked once the own try has taken this long, in ms: an urgent job of 2.5 s has 1.5 s to spare for everything. */
const ASK_OTHERS_AFTER_MS = 300;

/**
 * And as long as this many reads lately took: from a slow store no entry gets a faster answer, and what they ask for as well
 * only makes it slower.
 */
const READS_TO_WAIT = 4;

/** But not longer, in ms: a single read may have taken long for another reason. */
const MOST_ASK_AFTER_MS = 900;

/** When other entries are asked, from the begin of the own try, in ms. */
export function askOthersAfterMs(lastReadMs: number): number {
  const waitMs = Math.max(ASK_OTHERS_AFTER_MS, READS_TO_WAIT * lastReadMs);
  return Math.min(MOST_ASK_AFTER_MS, waitMs);
}

/** What a call comes to. */
interface CallOutcome {
  outcome: string;
}

/** True if another entry may do better: the one that answered can't use the store. */
export function isOutOfReach({ outcome }: CallOutcome): boolean {
  return outcome === 'not-accepted' || outcome === 'not-ready' || outcome === 'unknown';
}

/** The first answer that settles the call; else what all answers come to together. */
export async function settleCall<T extends CallOutcome>({
  own,
  askOthers,
  askAfterMs = ASK_OTHERS_AFTER_MS,
}: {
  own: Promise<T>;
  /** In ms. */
  askAfterMs?: number;
  /** One answer each of the entries that could be reached; none of them rejects. */
  askOthers: () => Promise<T>[];
}): Promise<T> {
  const early = await Promise.race([own, pause(askAfterMs)]);
  if (early !== undefined && !isOutOfReach(early)) return early;
  const all = [own, ...askOthers()];
  return (await firstSettling(all)) ?? combine(await Promise.all(all));
}

/** Undefined if none of them settles the call. */
async function firstSettling<T extends CallOutcome>(
  answers: readonly Promise<T>[],
): Promise<T | undefined> {
  const settling = answers.map(async (answer) => {
    const result = await answer;
    if (isOutOfReach(result)) throw new Error('does not settle the call');
    return result;
  });
  return Promise.any(settling).catch(() => undefined);
}

/** A try that may still be carried out somewhere is told of, whatever the others refused. */
function combine<T extends CallOutcome>(answers: readonly T[]): T {
  const [own] = answers;
  if (own === undefined) throw new Error('a call without an answer of its own');
  return answers.find(({ outcome }) => outcome === 'unknown') ?? own;
}
