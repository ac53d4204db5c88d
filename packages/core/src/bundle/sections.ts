/** A bundle as named sections, the unit in which changes travel and digests are kept. */
import * as z from 'zod';
import { clientAccountSchema } from '../client-account/client-account.js';
import { ProblemError, problem } from '../error/problem.js';
import { guaranteeSchema } from '../guarantee/guarantee.js';
import { kindSchema } from '../kind/kind.js';
import { nameSchema } from '../vm/vm.js';
import { policySchema, type Bundle, type BundleSection } from './bundle.js';

/** Kinds of section. All but `policy` are followed by `/` and the name of what they hold. */
const SECTION_SCHEMAS = {
  account: clientAccountSchema,
  kind: kindSchema,
  guarantee: guaranteeSchema,
  drained: nameSchema,
} as const;
type NamedSection = keyof typeof SECTION_SCHEMAS;
const NAMED_SECTIONS = Object.keys(SECTION_SCHEMAS) as NamedSection[];

const POLICY = 'policy';

/** Sections of a bundle: one per account, kind, guarantee and drained upstream, and the policy. */
export function toSections(bundle: Bundle): BundleSection[] {
  const sections = [
    ...bundle.accounts.map((value) => ({ name: `account/${value.name}`, value })),
    ...bundle.kinds.map((value) => ({ name: `kind/${value.name}`, value })),
    ...bundle.guarantees.map((value) => ({ name: `guarantee/${value.name}`, value })),
    ...bundle.drained.map((value) => ({ name: `drained/${value}`, value })),
    { name: POLICY, value: bundle.policy },
  ];
  refuseDuplicates(sections);
  return sections;
}

/** The bundle that sections make up, in order of name. Throws ProblemError `bad-input`. */
export function fromSections(sections: Iterable<BundleSection>): Bundle {
  const lists: Record<NamedSection, unknown[]> = {
    account: [],
    kind: [],
    guarantee: [],
    drained: [],
  };
  let policy: unknown;
  [...sections]
    .sort((a, b) => compareNames(a.name, b.name))
    .forEach(({ name, value }) => {
      if (name === POLICY) policy = value;
      else lists[sectionKind(name)].push(value);
    });
  return {
    accounts: lists.account,
    kinds: lists.kind,
    guarantees: lists.guarantee,
    drained: lists.drained,
    policy: policySchema.parse(policy ?? {}),
  } as Bundle;
}

/** The same bundle with its lists in order of name, as daemons hold it. */
export function normalizeBundle(bundle: Bundle): Bundle {
  return fromSections(toSections(bundle));
}

/** Checks one section's name and value. Throws ProblemError `bad-input`. */
export function checkSection({ name, value }: BundleSection): void {
  const schema = name === POLICY ? policySchema : SECTION_SCHEMAS[sectionKind(name)];
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw badSection(name, z.prettifyError(parsed.error));
  if (name === POLICY) return;
  const held =
    typeof parsed.data === 'string' ? parsed.data : (parsed.data as { name: string }).name;
  if (held !== name.slice(name.indexOf('/') + 1)) throw badSection(name, `It holds "${held}".`);
}

/** Checks sections as a whole against the bounds of a bundle. Throws ProblemError `bad-input`. */
export function checkCounts(bundle: Bundle): void {
  const limits = { accounts: 2000, kinds: 2000, guarantees: 5000, drained: 5000 } as const;
  const over = (Object.keys(limits) as (keyof typeof limits)[]).find(
    (list) => bundle[list].length > limits[list],
  );
  if (over) throw badSection(over, `At most ${limits[over]} are allowed.`);
}

/** Order of section names: by code unit, the same everywhere. */
export function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function sectionKind(name: string): NamedSection {
  const kind = NAMED_SECTIONS.find((known) => name.startsWith(`${known}/`));
  if (kind) return kind;
  throw badSection(name, 'No section has such a name.');
}

function refuseDuplicates(sections: BundleSection[]): void {
  const names = new Set<string>();
  sections.forEach(({ name }) => {
    if (names.has(name)) throw badSection(name, 'It is there twice.');
    names.add(name);
  });
}

function badSection(name: string, why: string): ProblemError {
  return new ProblemError(
    problem('bad-input', {
      detail: `Section "${name}" of the bundle is wrong. ${why}`,
      remedy: 'Correct it in the bundle and propose that.',
    }),
  );
}
