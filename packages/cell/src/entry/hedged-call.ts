/**
 * Hedges a call: serves it here and, if that takes long or fails, at other entries too; the first conclusive answer wins. Guards
 * against an entry that the store refuses, or whose connections to it have died, while others reach it. Calls are idempotent by
 * their job's id, so that several entries may work on the same call at once.
 */
import { sleep } from '../clock/sleep.js';

/** Time for the local attempt before other entries are called too, in ms. An urgent job of 2.5 s has 1.5 s to spare for everything. */
const HEDGE_DELAY_MS = 300;

interface CallOutcome {
  outcome: string;
}

/** True if another entry may succeed, because the one that answered cannot use the store. */
export function isInconclusive({ outcome }: CallOutcome): boolean {
  return outcome === 'not-accepted' || outcome === 'not-ready' || outcome === 'unknown';
}

/** Rejections by the rules of the entry that answers: its configuration, and the requests that its version accepts. */
const REJECTIONS = ['not-authenticated', 'no-such-queue', 'bad-input'];

/** True of a rejection that says nothing of other attempts: these may have taken effect by the rules of other entries. */
function isRejection({ outcome }: CallOutcome): boolean {
  return REJECTIONS.includes(outcome);
}

/** Returns the first conclusive answer, or else combines all answers. */
export async function hedgeCall<T extends CallOutcome>({
  local,
  callOthers,
  isStoreSlow = false,
  isWrite = false,
}: {
  local: Promise<T>;
  /** If true, others are called only after the local attempt fails. A slow store answers no entry faster, and more requests slow it down. */
  isStoreSlow?: boolean;
  /** If true, the caller is told of a rejection only once no attempt can have taken effect. */
  isWrite?: boolean;
  /** Calls the other entries that can be reached; one promise each, none of which rejects. */
  callOthers: () => Promise<T>[];
}): Promise<T> {
  const early = await (isStoreSlow ? local : Promise.race([local, sleep(HEDGE_DELAY_MS)]));
  if (early !== undefined && !isInconclusive(early)) return early;
  const all = [local, ...callOthers()];
  const isConclusive = (answer: T): boolean =>
    !isInconclusive(answer) && !(isWrite && isRejection(answer));
  return (await firstMatching(all, isConclusive)) ?? combineAnswers(await Promise.all(all));
}

/** The first answer that matches; undefined if none does. */
async function firstMatching<T>(
  answers: readonly Promise<T>[],
  matches: (answer: T) => boolean,
): Promise<T | undefined> {
  const matching = answers.map(async (answer) => {
    const result = await answer;
    if (!matches(result)) throw new Error('no match');
    return result;
  });
  return Promise.any(matching).catch(() => undefined);
}

/**
 * Combines answers of which none is conclusive by itself. Returns an `unknown` answer if there is one, since that attempt may still
 * take effect whatever the others rejected.
 */
function combineAnswers<T extends CallOutcome>(answers: readonly T[]): T {
  const [local] = answers;
  if (local === undefined) throw new Error('no local answer to combine');
  const unknown = answers.find(({ outcome }) => outcome === 'unknown');
  return unknown ?? answers.find(isRejection) ?? local;
}
