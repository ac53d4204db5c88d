/** Proposals: a checked body in the object store, and the head that operators are to sign. */
import {
  FindingsError,
  MAX_BUNDLE_BYTES,
  ProblemError,
  bundleObjectKey,
  canonicalJson,
  checkBundle,
  checkPacking,
  diffBundles,
  digestBundle,
  normalizeBundle,
  problem,
  type Bundle,
  type BundleHead,
  type BundleKeeper,
  type Finding,
  type ObjectStore,
  type PlacedWorker,
  type SectionChange,
} from '@zincspan/core';

/** A proposal as its author gets it back. */
export interface Proposal {
  /** To be signed; without signatures yet. */
  head: BundleHead;
  /** The body as daemons will hold it. */
  bundle: Bundle;
  changes: SectionChange[];
  /** What the operators should know, though it refuses nothing. */
  warnings: Finding[];
}

/** What proposals are made with. */
export interface ProposalsOptions {
  keeper: Pick<BundleKeeper, 'current'>;
  objectStore: ObjectStore;
  /** Workers announced at present. */
  workers: () => PlacedWorker[];
}

/** Checks proposals and stores their bodies. */
export class Proposals {
  readonly #options: ProposalsOptions;

  constructor(options: ProposalsOptions) {
    this.#options = options;
  }

  /** Throws FindingsError for an unsound bundle, ProblemError `conflict` if it changes nothing. */
  async propose(bundle: Bundle, note: string): Promise<Proposal> {
    const { current } = this.#options.keeper;
    const findings = checkBundle(bundle);
    if (findings.length > 0) throw new FindingsError('The bundle', findings);
    const warnings = this.checkFit(bundle);
    const body = normalizeBundle(bundle);
    const changes = diffBundles(current?.bundle, body);
    if (changes.length === 0) throw nothingChanged(current?.head.version ?? 0);
    const digest = digestBundle(body);
    const bytes = Buffer.from(canonicalJson(body));
    if (bytes.length > MAX_BUNDLE_BYTES) throw tooLarge(bytes.length);
    await this.#options.objectStore.put(bundleObjectKey(digest), bytes);
    const parent = current?.head.version ?? 0;
    const head = { version: parent + 1, parent, digest, note, signatures: [] };
    return { head, bundle: body, changes, warnings };
  }

  /**
   * Guarantees that don't fit are refused, with the numbers. Where the bundle in force has the same ones already,
   * they are a warning only: a change that drains a failing worker must not be held up by the promise it endangers.
   */
  checkFit(bundle: Bundle): Finding[] {
    const findings = checkPacking(bundle, this.#options.workers());
    if (findings.length === 0) return [];
    const inForce = this.#options.keeper.current?.bundle.guarantees ?? [];
    const newOnes = digestOf(bundle.guarantees) !== digestOf(inForce);
    if (newOnes) throw new FindingsError('The bundle', findings);
    return findings;
  }
}

function digestOf(guarantees: Bundle['guarantees']): string {
  const sorted = [...guarantees].sort((a, b) => (a.name < b.name ? -1 : 1));
  return canonicalJson(sorted);
}

function tooLarge(bytes: number): ProblemError {
  return new ProblemError(
    problem('too-large', {
      detail: `The bundle is ${bytes} bytes of canonical JSON; at most ${MAX_BUNDLE_BYTES} are allowed.`,
      remedy: 'Remove accounts, kinds, guarantees or drained upstreams that are no longer there.',
      facts: { bytes, limit: MAX_BUNDLE_BYTES },
    }),
  );
}

function nothingChanged(version: number): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `The bundle says the same as version ${version}, which is in force.`,
      remedy: 'Nothing needs to be done, or edit the file first.',
      facts: { version },
    }),
  );
}
