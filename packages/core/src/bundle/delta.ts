/** Deltas: the sections that lead from one version of the bundle to another. */
import type { Bundle, BundleDelta, BundleHead } from './bundle.js';
import { compareNames } from './sections.js';
import { SectionSet } from './section-set.js';

/** Delta from one bundle (version `from`; undefined with 0 for the empty one) to the one `head` names. */
export function makeDelta({
  from = 0,
  before,
  after,
  head,
}: {
  from?: number;
  before?: Bundle | undefined;
  after: Bundle;
  head: BundleHead;
}): BundleDelta {
  const old = before ? SectionSet.of(before) : SectionSet.EMPTY;
  const next = SectionSet.of(after);
  return deltaOfNames({ from, head, next, names: next.changedNames(old) });
}

/** Delta that brings the sections of these names to what `next` holds. */
export function deltaOfNames({
  from,
  head,
  next,
  names,
}: {
  from: number;
  head: BundleHead;
  next: SectionSet;
  names: readonly string[];
}): BundleDelta {
  const sorted = [...names].sort(compareNames);
  return {
    from,
    head,
    set: sorted.flatMap((name) => next.get(name) ?? []),
    remove: sorted.filter((name) => !next.has(name)),
  };
}

/** The bundle a delta leads to, from the one it starts at. Throws ProblemError `bad-input`. */
export function applyDelta(before: Bundle | undefined, delta: BundleDelta): Bundle {
  const base = delta.from === 0 || !before ? SectionSet.EMPTY : SectionSet.of(before);
  return base.with(delta.set, delta.remove).toBundle();
}
