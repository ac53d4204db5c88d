/**
 * In which order groups are placed: what earns most for each accelerator-second that it still needs comes first. The
 * load it answers is one where accelerators are scarce, small urgent jobs arrive among long ones, and a job that is
 * past its last useful moment loses nothing more by waiting.
 */

/** What is known of a job that wants room. Times in ms. */
export interface Standing {
  /** 0 is the most urgent. */
  priority: number;
  /** Within the account's guarantee: it must begin. */
  claim: boolean;
  /** Accelerator-milliseconds of all its tasks, and of those that aren't done. */
  totalWork: number;
  leftWork: number;
  /** Mean of `totalWork` over the jobs of its queue. */
  meanWork: number;
  /** Since it was accepted, or its occurrence was due. */
  ageMs: number;
  /** It should be complete by this age. */
  objectiveMs: number;
  /** Longest chain of what is left, by the estimates. */
  leftChainMs: number;
}

/** Worth of priorities 0, 1, 2 to their users, relative to each other; later ones like the last. */
const WORTH = [4, 3, 1];

/** A job of mean size is worth 1 to its users, one with hardly any work this much: small jobs aren't starved by large ones. */
const FIXED_SHARE = 0.3;

/** However large, a job is worth at most this many times its queue's mean job. */
const MOST_OF_MEAN = 4;

/** Up to this many objectives a job is late but still earns. */
const LATE_UNTIL = 3;

/** Share of its worth that a late job keeps. */
const LATE_SHARE = 0.27;

/** What is past all use goes last, but goes: it has been accepted. */
const PAST_SHARE = 0.05;

/** Waiting raises a job at most this much, so that a large one comes before new small ones of like worth. */
const MOST_RAISED = 2;

/** Work so small that a division by it would say nothing, in accelerator-ms. */
const LEAST_WORK = 200;

/** Higher comes first. */
export function urgencyOf(standing: Standing): number {
  const worth = WORTH[Math.min(standing.priority, WORTH.length - 1)] ?? 1;
  const size = Math.min(
    MOST_OF_MEAN,
    FIXED_SHARE +
      (1 - FIXED_SHARE) * (standing.totalWork / Math.max(LEAST_WORK, standing.meanWork)),
  );
  const density = (worth * size) / Math.max(LEAST_WORK, standing.leftWork);
  const raised = Math.min(MOST_RAISED, 1 + standing.ageMs / Math.max(1, standing.objectiveMs));
  return density * timeFactor(standing) * raised;
}

/** Claims first, then by urgency. */
export function byUrgency(a: Standing, b: Standing): number {
  if (a.claim !== b.claim) return a.claim ? -1 : 1;
  return urgencyOf(b) - urgencyOf(a);
}

function timeFactor({ ageMs, leftChainMs, objectiveMs }: Standing): number {
  const endMs = ageMs + leftChainMs;
  if (endMs <= objectiveMs) return 1;
  return endMs <= LATE_UNTIL * objectiveMs ? LATE_SHARE : PAST_SHARE;
}
