/** Which runner a request goes to. */
import type { Runner, RunnerLoad } from '@zincspan/core';
import type { UpstreamMember } from '../membership/upstream-member.js';

/** A runner that may be chosen. */
export type RunnerMember = UpstreamMember<Runner>;

/** How an attempt ended at a runner, as far as later choices care. `ms` is the time it took. */
export interface RunnerOutcome {
  ok: boolean;
  ms: number;
  load?: RunnerLoad | undefined;
}

/** Chooses runners and learns from how attempts went. */
export interface RunnerChooser {
  choose(runners: readonly RunnerMember[]): RunnerMember | undefined;
  started(runner: string): void;
  ended(runner: string, outcome: RunnerOutcome): void;
  /** Drops what is known of a runner that has left. */
  forget(runner: string): void;
}

/** Takes the runner with the smallest share of its slots in use by this entry; equals in turn. */
export class LeastLoadedChooser implements RunnerChooser {
  readonly #inProgress = new Map<string, number>();

  #turn = 0;

  choose(runners: readonly RunnerMember[]): RunnerMember | undefined {
    this.#turn += 1;
    const inTurn = runners.map(
      (_, i) => runners[(i + this.#turn) % runners.length] as RunnerMember,
    );
    const [first, ...rest] = inTurn;
    if (first === undefined) return undefined;
    return rest.reduce((best, next) => (this.#used(next) < this.#used(best) ? next : best), first);
  }

  started(runner: string): void {
    this.#inProgress.set(runner, (this.#inProgress.get(runner) ?? 0) + 1);
  }

  ended(runner: string): void {
    this.#inProgress.set(runner, Math.max(0, (this.#inProgress.get(runner) ?? 0) - 1));
  }

  forget(runner: string): void {
    this.#inProgress.delete(runner);
  }

  #used({ upstream }: RunnerMember): number {
    return (this.#inProgress.get(upstream.id) ?? 0) / upstream.slots;
  }
}
