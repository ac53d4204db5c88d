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

/** Returns the first conclusive answer, or else combines the inconclusive ones. */
export async function hedgeCall<T extends CallOutcome>({
  local,
  callOthers,
  isStoreSlow = false,
}: {
  local: Promise<T>;
  /** If true, others are called only after the local attempt fails. A slow store answers no entry faster, and more requests slow it down. */
  isStoreSlow?: boolean;
  /** Calls the other entries that can be reached; one promise each, none of which rejects. */
  callOthers: () => Promise<T>[];
}): Promise<T> {
  const early = await (isStoreSlow ? local : Promise.race([local, sleep(HEDGE_DELAY_MS)]));
  if (early !== undefined && !isInconclusive(early)) return early;
  const all = [local, ...callOthers()];
  return (await firstConclusive(all)) ?? combineInconclusive(await Promise.all(all));
}

/** The first conclusive answer; undefined if there is none. */
async function firstConclusive<T extends CallOutcome>(
  answers: readonly Promise<T>[],
): Promise<T | undefined> {
  const conclusive = answers.map(async (answer) => {
    const result = await answer;
    if (isInconclusive(result)) throw new Error('inconclusive answer');
    return result;
  });
  return Promise.any(conclusive).catch(() => undefined);
}

/** Returns an `unknown` answer if there is one, since that attempt may still take effect whatever the others refused. */
function combineInconclusive<T extends CallOutcome>(answers: readonly T[]): T {
  const [local] = answers;
  if (local === undefined) throw new Error('no local answer to combine');
  return answers.find(({ outcome }) => outcome === 'unknown') ?? local;
}
