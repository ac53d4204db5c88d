/** Keeps the bundle in force in one process: only signed ones, and only ever forward. */
import { problem, ProblemError, type Problem } from '../error/problem.js';
import type { Bundle, BundleDelta, BundleHead } from './bundle.js';
import { deltaOfNames } from './delta.js';
import { SectionSet } from './section-set.js';
import { checkSignatures, type Operator } from './signature.js';

/** A bundle whose digest and signatures were checked, with its head. */
export interface BundleAndHead {
  head: BundleHead;
  bundle: Bundle;
}

/** What became of an offer. `stale`: an older version than the one in force. */
export type OfferResult = 'taken' | 'already' | 'stale' | { refused: Problem };

/** One step forward, and the names of the sections that it changed. */
interface Step {
  from: number;
  to: number;
  names: string[];
}

/** The bundle in force, and enough of its past to answer peers that lag with a delta. */
export class BundleKeeper {
  readonly #operators: readonly Operator[];

  readonly #historySize: number;

  readonly #listeners = new Set<() => void>();

  #current: BundleAndHead | undefined;

  #sections = SectionSet.EMPTY;

  #steps: Step[] = [];

  /** `historySize`: how many versions back a peer may be and still get a delta. */
  constructor({
    operators,
    historySize = 256,
  }: {
    operators: readonly Operator[];
    historySize?: number;
  }) {
    this.#operators = operators;
    this.#historySize = historySize;
  }

  get current(): BundleAndHead | undefined {
    return this.#current;
  }

  /** Version in force, 0 before the first. */
  get version(): number {
    return this.#current?.head.version ?? 0;
  }

  /** Calls `fn` after each change of `current`; the answer ends the subscription. */
  subscribe(fn: () => void): () => void {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  /** Takes a delta that starts at the version in force, or a full bundle (from 0), if it is newer and valid. */
  offer(delta: BundleDelta): OfferResult {
    const { head } = delta;
    if (head.version < this.version) return 'stale';
    if (head.version === this.version) return this.#compareSameVersion(head);
    const refused = this.#checkBase(delta) ?? checkSignatures(head, this.#operators);
    if (refused) return { refused };
    try {
      return this.#apply(delta);
    } catch (err) {
      if (err instanceof ProblemError) return { refused: err.problem };
      throw err;
    }
  }

  /** Takes a whole bundle, as `offer`. */
  offerBundle(head: BundleHead, bundle: Bundle): OfferResult {
    const next = SectionSet.of(bundle);
    return this.offer(deltaOfNames({ from: 0, head, next, names: next.names }));
  }

  /** What leads from `version` to the bundle in force; undefined if that isn't newer. */
  deltaSince(version: number): BundleDelta | undefined {
    if (!this.#current || version >= this.version) return undefined;
    const next = this.#sections;
    const { head } = this.#current;
    const start = this.#steps.findIndex(({ from }) => from === version);
    if (version === 0 || start < 0) return deltaOfNames({ from: 0, head, next, names: next.names });
    const names = new Set(this.#steps.slice(start).flatMap((step) => step.names));
    return deltaOfNames({ from: version, head, next, names: [...names] });
  }

  #compareSameVersion(head: BundleHead): OfferResult {
    if (head.digest === this.#current?.head.digest) return 'already';
    return {
      refused: problem('conflict', {
        detail: `Bundle ${head.version} is in force with another digest.`,
        remedy: 'Propose the change again on top of the bundle in force.',
        facts: { version: head.version },
      }),
    };
  }

  #checkBase({ from, head }: BundleDelta): Problem | undefined {
    if (from === 0 || from === this.version) return undefined;
    return problem('conflict', {
      detail: `The delta to bundle ${head.version} starts at ${from}, but ${this.version} is in force here.`,
      remedy: 'Fetch again with the version in force, or the whole bundle with 0.',
      facts: { from, version: this.version },
    });
  }

  #apply({ from, head, set, remove }: BundleDelta): OfferResult {
    const base = from === 0 ? SectionSet.EMPTY : this.#sections;
    const next = base.with(set, remove);
    if (next.digest !== head.digest) return { refused: digestProblem(head, next.digest) };
    const bundle = next.toBundle();
    this.#remember({
      from: this.version,
      to: head.version,
      names: next.changedNames(this.#sections),
    });
    this.#sections = next;
    this.#current = { head, bundle };
    this.#listeners.forEach((fn) => fn());
    return 'taken';
  }

  #remember(step: Step): void {
    this.#steps.push(step);
    if (this.#steps.length > this.#historySize) this.#steps.shift();
  }
}

function digestProblem(head: BundleHead, digest: string): Problem {
  return problem('bad-input', {
    detail: `The sections received for bundle ${head.version} don't have the digest that was signed.`,
    remedy: 'Fetch the whole bundle (from 0) from another peer or the object store.',
    facts: { signed: head.digest, received: digest },
  });
}
