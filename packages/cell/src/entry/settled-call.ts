/**
 * One call, served here or by another entry, whichever settles it first. The load it answers: an entry that the store
 * turns away, or whose connections to it have gone silent, while others reach it. Each call is idempotent by its job's
 * id, so that two entries may work on it at once.
 */
import { sleep } from '../clock/sleep.js';

/** Others are asked once the own try has taken this long, in ms: an urgent job of 2.5 s has 1.5 s to spare for everything. */
const ASK_OTHERS_AFTER_MS = 300;

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
  isStoreSlow = false,
}: {
  own: Promise<T>;
  /** No entry gets a faster answer from it, and what they ask for as well makes it slower: they are asked only if the own try fails. */
  isStoreSlow?: boolean;
  /** One answer each of the entries that could be reached; none of them rejects. */
  askOthers: () => Promise<T>[];
}): Promise<T> {
  const early = await (isStoreSlow ? own : Promise.race([own, sleep(ASK_OTHERS_AFTER_MS)]));
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
