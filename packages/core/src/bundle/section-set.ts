/** Sections of one bundle with their digests, so that a change costs little. */
import { createHash } from 'node:crypto';
import type { Bundle, BundleSection } from './bundle.js';
import { canonicalJson } from './canonical.js';
import { checkCounts, checkSection, compareNames, fromSections, toSections } from './sections.js';

interface Entry {
  value: unknown;
  /** SHA-256 of the value's canonical JSON, hex. */
  digest: string;
}

/** Immutable set of sections; `with` makes a changed one that shares what stayed. */
export class SectionSet {
  static readonly EMPTY = new SectionSet(new Map());

  readonly #entries: ReadonlyMap<string, Entry>;

  #digest?: string;

  private constructor(entries: ReadonlyMap<string, Entry>) {
    this.#entries = entries;
  }

  /** Sections of a bundle whose fields were checked. Throws ProblemError if two have one name. */
  static of(bundle: Bundle): SectionSet {
    return new SectionSet(
      new Map(toSections(bundle).map(({ name, value }) => [name, toEntry(value)])),
    );
  }

  get names(): string[] {
    return [...this.#entries.keys()];
  }

  has(name: string): boolean {
    return this.#entries.has(name);
  }

  /** The section of this name; undefined if there is none. */
  get(name: string): BundleSection | undefined {
    const entry = this.#entries.get(name);
    return entry && { name, value: entry.value };
  }

  /** SHA-256 over the sorted (name, digest of value), hex: what the head signs. */
  get digest(): string {
    this.#digest ??= this.#computeDigest();
    return this.#digest;
  }

  /** A set with some sections set and some removed, each checked. Throws ProblemError `bad-input`. */
  with(set: readonly BundleSection[], remove: readonly string[]): SectionSet {
    const entries = new Map(this.#entries);
    remove.forEach((name) => entries.delete(name));
    set.forEach((section) => {
      checkSection(section);
      entries.set(section.name, toEntry(section.value));
    });
    return new SectionSet(entries);
  }

  /** Names whose sections differ in `other`, or stand in one of the two only. */
  changedNames(other: SectionSet): string[] {
    const names = new Set([...this.#entries.keys(), ...other.#entries.keys()]);
    return [...names].filter(
      (name) => this.#entries.get(name)?.digest !== other.#entries.get(name)?.digest,
    );
  }

  /** The bundle, its lists in order of name. Throws ProblemError if a list is too long. */
  toBundle(): Bundle {
    const bundle = fromSections([...this.#entries].map(([name, { value }]) => ({ name, value })));
    checkCounts(bundle);
    return bundle;
  }

  #computeDigest(): string {
    const hash = createHash('sha256');
    [...this.#entries.keys()].sort(compareNames).forEach((name) => {
      hash.update(`${name}\n${this.#entries.get(name)?.digest}\n`);
    });
    return hash.digest('hex');
  }
}

/** Digest of a bundle's body, independent of the order of its lists (hex). */
export function digestBundle(bundle: Bundle): string {
  return SectionSet.of(bundle).digest;
}

function toEntry(value: unknown): Entry {
  return { value, digest: createHash('sha256').update(canonicalJson(value)).digest('hex') };
}
