/** The whole check: every model within its bounds, and every mutant. */
import { BUNDLE_RULES, bundleModel } from './bundle/model.js';
import { explore, type Exploration } from './explore/explore.js';
import type { Model, Rule } from './explore/model.js';
import { GANG_BOUNDS, LARGE_GANG_BOUNDS, MUTANT_BOUNDS } from './gang/bounds.js';
import { gangModel } from './gang/model.js';
import { GANG_RULES } from './gang/rules.js';
import { REQUEST_RULES, requestModel } from './request/model.js';

/** A model with the name of its bounds, ready to be explored. */
export interface CheckedModel {
  name: string;
  /** Explores it and tells the paths in words. */
  run(): Report;
}

/** A mutant: a model with one rule removed. */
export interface Mutant extends CheckedModel {
  rule: Rule;
}

/** What one exploration found, in words. */
export interface Report {
  states: number;
  transitions: number;
  depth: number;
  ms: number;
  deepest: string[];
  kinds: string[];
  broken: { invariant: string; steps: string[] } | undefined;
}

/** Explores a model and tells what was found in words. */
export function report<State extends object, Act>(model: Model<State, Act>): Report {
  const found: Exploration<Act> = explore(model);
  const { states, transitions, depth, ms, violation } = found;
  const tell = (acts: Act[]) => acts.map((act) => model.describe(act));
  const broken = violation && {
    invariant: violation.broken ?? '',
    steps: tell(violation.acts),
  };
  const kinds = [...found.byKind.keys()];
  return { states, transitions, depth, ms, deepest: tell(found.deepest.acts), kinds, broken };
}

/** The models as specified; `large` with the larger bounds. */
export function models(large = false): CheckedModel[] {
  const gangs = Object.entries({ ...GANG_BOUNDS, ...(large ? LARGE_GANG_BOUNDS : {}) });
  const faults = large ? 4 : 2;
  return [
    ...gangs.map(([name, bounds]) => checked(`gang: ${name}`, () => gangModel(bounds))),
    checked('request', () => requestModel({ idempotent: false, faults })),
    checked('request, idempotent', () => requestModel({ idempotent: true, faults })),
    checked('bundle', () => bundleModel({ versions: large ? 4 : 3, faults })),
  ];
}

/** Every rule of every protocol, removed. */
export function mutants(): Mutant[] {
  return [
    ...GANG_RULES.map((rule) => ({
      ...checked('gang', () => gangModel(MUTANT_BOUNDS[rule.id], rule.id)),
      rule,
    })),
    ...REQUEST_RULES.map((rule) => ({
      ...checked('request', () =>
        requestModel({ idempotent: rule.id === 'earlier-sends', faults: 2 }, rule.id),
      ),
      rule,
    })),
    ...BUNDLE_RULES.map((rule) => ({
      ...checked('bundle', () => bundleModel({ versions: 3, faults: 2 }, rule.id)),
      rule,
    })),
  ];
}

function checked<State extends object, Act>(
  name: string,
  make: () => Model<State, Act>,
): CheckedModel {
  return { name, run: () => report(make()) };
}
