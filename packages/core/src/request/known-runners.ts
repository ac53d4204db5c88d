/** The runners that a chooser knows, by the kinds that they serve. */
import type { Random } from './choice-policy.js';
import type { ChoosableRunner, ChoiceQuery } from './runner-choice.js';
import { RunnerOccupancy, type LoadContext } from './runner-load.js';

/** One runner as its chooser sees it. */
export interface KnownRunner {
  runner: ChoosableRunner;
  draining: boolean;
  /** Number of the choice that it was last picked by. */
  turn: number;
  occupancy: RunnerOccupancy;
}

/** Finds runners without a walk over all of them for each request. */
export class KnownRunners {
  readonly #reportLifeMs: number;

  readonly #byId = new Map<string, KnownRunner>();

  /** Those that aren't draining, by kind; under `undefined` of any kind. Made when asked for. */
  readonly #byKind = new Map<string | undefined, KnownRunner[]>();

  constructor({ reportLifeMs }: { reportLifeMs: number }) {
    this.#reportLifeMs = reportLifeMs;
  }

  get(id: string): KnownRunner | undefined {
    return this.#byId.get(id);
  }

  /** Adds a runner, or takes over what has changed of it. */
  put(runner: ChoosableRunner, draining: boolean): void {
    const known = this.#byId.get(runner.id) ?? {
      turn: 0,
      occupancy: new RunnerOccupancy({ lifeMs: this.#reportLifeMs }),
    };
    this.#byId.set(runner.id, { ...known, runner, draining });
    this.#byKind.clear();
  }

  delete(id: string): void {
    this.#byId.delete(id);
    this.#byKind.clear();
  }

  /** Runners that take new requests of a kind, or of any. */
  serving(kind?: string): readonly KnownRunner[] {
    return this.#serving(kind);
  }

  /** The same, each drawn from those left when it is asked for. */
  *inRandomOrder(kind: string, random: Random): Generator<KnownRunner> {
    const serving = this.#serving(kind);
    for (let i = 0; i < serving.length; i += 1) {
      const at = i + Math.floor(random() * (serving.length - i));
      const drawn = serving[at] as KnownRunner;
      serving[at] = serving[i] as KnownRunner;
      serving[i] = drawn;
      yield drawn;
    }
  }

  #serving(kind: string | undefined): KnownRunner[] {
    const known = this.#byKind.get(kind);
    if (known !== undefined) return known;
    const serving = [...this.#byId.values()].filter(
      ({ runner, draining }) => !draining && serves(runner, kind),
    );
    this.#byKind.set(kind, serving);
    return serving;
  }
}

function serves({ kinds }: ChoosableRunner, kind: string | undefined): boolean {
  return kind === undefined || kinds.length === 0 || kinds.includes(kind);
}

/** May the query be answered by this runner at all? */
export function isEligible({ runner }: KnownRunner, { exclude, reachable }: ChoiceQuery): boolean {
  return exclude?.has(runner.id) !== true && reachable?.(runner.id) !== false;
}

/** May one more request be in flight there, with this many waiting for each slot? */
export function hasRoom(
  { runner, occupancy }: KnownRunner,
  queuePerSlot: number,
  context: LoadContext,
): boolean {
  return occupancy.inFlight < occupancy.bound(runner.slots, queuePerSlot, context);
}
