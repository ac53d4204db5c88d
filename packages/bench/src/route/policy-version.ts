/** Versions of the decisions on requests, from the baselines on, to be compared in one run. */
import {
  SampledChoice,
  type AccountLimiter,
  type Candidate,
  type ChoicePolicy,
  type Ejector,
  type HedgePolicy,
  type Random,
  type RunnerChooser,
} from '@zincspan/core';

type Options<T extends abstract new (options: never) => unknown> = Partial<
  ConstructorParameters<T>[0]
>;

/** One version. Parts left out are switched off. */
export interface PolicyVersion {
  name: string;
  chooser(): Options<typeof RunnerChooser>;
  ejector: Options<typeof Ejector>;
  hedge?: Options<typeof HedgePolicy>;
  limiter?: Options<typeof AccountLimiter>;
}

/** Any runner, whatever its load. */
export class RandomChoice implements ChoicePolicy {
  readonly sample = Infinity;

  pick(candidates: Candidate[], random: Random): Candidate {
    return candidates[Math.floor(random() * candidates.length)] as Candidate;
  }
}

/** Each runner in turn. */
export class RoundRobinChoice implements ChoicePolicy {
  readonly sample = Infinity;

  #turn = 0;

  pick(candidates: Candidate[]): Candidate {
    this.#turn += 1;
    return candidates[this.#turn % candidates.length] as Candidate;
  }
}

/** Nothing is ever taken out of choice. */
const NO_EJECTION = {
  failuresToEject: Infinity,
  slowFactor: Infinity,
  shortestSilenceMs: Infinity,
};
/** As many in flight as the guards will take. */
const UNBOUNDED = { queuePerSlot: 8, evenQueuePerSlot: 8 };

export const VERSIONS: PolicyVersion[] = [
  {
    name: 'random',
    chooser: () => ({ policy: new RandomChoice(), ...UNBOUNDED }),
    ejector: NO_EJECTION,
  },
  {
    name: 'round-robin',
    chooser: () => ({ policy: new RoundRobinChoice(), ...UNBOUNDED }),
    ejector: NO_EJECTION,
  },
  {
    name: 'two-choices',
    chooser: () => ({ policy: twoChoices(), queuePerSlot: 0.5 }),
    ejector: NO_EJECTION,
  },
  {
    name: '+ejector',
    chooser: () => ({ policy: twoChoices(), queuePerSlot: 0.5 }),
    ejector: {},
  },
  {
    name: '+limiter',
    chooser: () => ({ policy: twoChoices(), queuePerSlot: 0.5 }),
    ejector: {},
    limiter: {},
  },
  {
    name: '+least of all',
    chooser: () => ({ queuePerSlot: 0.5 }),
    ejector: {},
    limiter: {},
  },
  {
    name: '+long queue',
    chooser: () => ({}),
    ejector: {},
    limiter: {},
  },
  {
    name: '+hedging',
    chooser: () => ({}),
    ejector: {},
    limiter: {},
    hedge: {},
  },
];

function twoChoices(): ChoicePolicy {
  return new SampledChoice({ choices: 2, tolerance: 0 });
}
