/** The whole check: every model within its bounds, and every mutant. */
import { BUNDLE_RULES, bundleModel, type BundleRule } from './bundle/model.js';
import { explore, type Exploration } from './explore/explore.js';
import type { Model, Rule } from './explore/model.js';
import { GANG_BOUNDS, LARGE_GANG_BOUNDS, MUTANT_BOUNDS } from './gang/bounds.js';
import { gangModel } from './gang/model.js';
import { GANG_RULES, type GangRule } from './gang/rules.js';
import type { GangBounds } from './gang/state.js';
import { replayBundle } from './replay/bundle-replay.js';
import { replayGang } from './replay/gang-replay.js';
import { replayRequest } from './replay/request-replay.js';
import { REQUEST_RULES, requestModel, type RequestRule } from './request/model.js';

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
  /** Sequences replayed against the real code, their steps, and where the code differs. */
  replayed: { sequences: number; steps: number; differences: string[] };
}

/** Replays a sequence against the real code; says where that differs, if it does. */
type Replay<Act> = (acts: Act[]) => string | undefined;

/** Explores a model, replays its sequences and tells in words what was found. */
export function report<State extends object, Act>(
  model: Model<State, Act>,
  replay: Replay<Act>,
): Report {
  const found: Exploration<Act> = explore(model);
  const { states, transitions, depth, ms, violation } = found;
  const tell = (acts: Act[]) => acts.map((act) => model.describe(act));
  const broken = violation && {
    invariant: violation.broken ?? '',
    steps: tell(violation.acts),
  };
  const paths = violation ? [violation] : [found.deepest, ...found.byKind.values()];
  const replayed = {
    sequences: paths.length,
    steps: paths.reduce((sum, { acts }) => sum + acts.length, 0),
    differences: paths.flatMap(({ acts }) => replay(acts) ?? []),
  };
  const kinds = [...found.byKind.keys()];
  const deepest = tell(found.deepest.acts);
  return { states, transitions, depth, ms, deepest, kinds, broken, replayed };
}

/** The models as specified; `large` with the larger bounds. */
export function models(large = false): CheckedModel[] {
  const gangs = Object.entries({ ...GANG_BOUNDS, ...(large ? LARGE_GANG_BOUNDS : {}) });
  const faults = large ? 4 : 2;
  return [
    ...gangs.map(([name, bounds]) => gang(`gang: ${name}`, bounds)),
    request('request', { idempotent: false, faults }),
    request('request, idempotent', { idempotent: true, faults }),
    bundle('bundle', { versions: large ? 4 : 3, faults }),
  ];
}

/** Every rule of every protocol, removed. */
export function mutants(): Mutant[] {
  return [
    ...GANG_RULES.map((rule) => ({ ...gang('gang', MUTANT_BOUNDS[rule.id], rule.id), rule })),
    ...REQUEST_RULES.map((rule) => ({
      ...request('request', { idempotent: rule.id === 'earlier-sends', faults: 2 }, rule.id),
      rule,
    })),
    ...BUNDLE_RULES.map((rule) => ({
      ...bundle('bundle', { versions: 3, faults: 2 }, rule.id),
      rule,
    })),
  ];
}

function gang(name: string, bounds: GangBounds, without?: GangRule): CheckedModel {
  const run = () => report(gangModel(bounds, without), (acts) => replayGang(bounds, acts));
  return { name, run };
}

function request(
  name: string,
  bounds: Parameters<typeof requestModel>[0],
  without?: RequestRule,
): CheckedModel {
  const run = () => report(requestModel(bounds, without), (acts) => replayRequest(bounds, acts));
  return { name, run };
}

function bundle(
  name: string,
  bounds: Parameters<typeof bundleModel>[0],
  without?: BundleRule,
): CheckedModel {
  const run = () => report(bundleModel(bounds, without), (acts) => replayBundle(bounds, acts));
  return { name, run };
}
