/**
 * Names of runners' lives. A runner that starts again may keep its id, and then knows nothing of before: its runs are gone, and it
 * numbers heartbeats and ends anew. So what is said of a runner holds for one life, and is kept under that life's name.
 */

/** What tells one life from all others. */
export interface LifeIdentity {
  /** The id that the platform calls the runner by. */
  id: string;
  /** When the life began, in Unix ms; undefined where the platform gives each life an id of its own. */
  bornMs: number | undefined;
}

/** Stands between the id and the birth: no id holds it. */
const BORN_AT = '@';

/** The name under which a life's runs, ends and tickets are kept. */
export function lifeName({ id, bornMs }: LifeIdentity): string {
  return bornMs === undefined ? id : `${id}${BORN_AT}${bornMs}`;
}

/** The id that the platform knows the runner of this life by. */
export function runnerIdOf(life: string): string {
  const at = life.lastIndexOf(BORN_AT);
  return at < 0 ? life : life.slice(0, at);
}

/** True if both are one life: an id alone doesn't say so. Nor does the later birth tell which one is there, as clocks may be set back. */
export function isSameLife(a: LifeIdentity, b: LifeIdentity): boolean {
  return a.id === b.id && a.bornMs === b.bornMs;
}
