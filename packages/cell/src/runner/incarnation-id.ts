/**
 * Ids of runner incarnations. An incarnation lasts from a runner's start until the runner ends. A runner that restarts may keep
 * its id but knows nothing of before: its runs are gone, and it numbers heartbeats and ended runs from 1 again. So whatever is
 * known of a runner holds for one incarnation, and is kept under the id of that incarnation.
 */

/** What tells one incarnation from all others. */
export interface RunnerIdentity {
  /** The id by which the platform addresses the runner. */
  id: string;
  /** When the incarnation started, in Unix ms; undefined where the platform gives each incarnation an id of its own. */
  bornMs: number | undefined;
}

/** Separates the runner's id from the start time; occurs in no id. */
const BIRTH_SEPARATOR = '@';

/** The id under which an incarnation's runs, ended runs and tickets are kept. */
export function incarnationId({ id, bornMs }: RunnerIdentity): string {
  return bornMs === undefined ? id : `${id}${BIRTH_SEPARATOR}${bornMs}`;
}

/** The runner's id on the platform. */
export function runnerIdOf(incarnation: string): string {
  const at = incarnation.lastIndexOf(BIRTH_SEPARATOR);
  return at < 0 ? incarnation : incarnation.slice(0, at);
}

/**
 * True if both are the same incarnation. An equal id isn't enough. Nor does the later start time tell which of two is running, as
 * clocks may be set back.
 */
export function isSameIncarnation(a: RunnerIdentity, b: RunnerIdentity): boolean {
  return a.id === b.id && a.bornMs === b.bornMs;
}
