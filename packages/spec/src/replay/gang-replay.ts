/** Replays a sequence of the gang model against the real code, step by step. */
import { isDeepStrictEqual } from 'node:util';
import type { Conclusion, GangAct } from '../gang/acts.js';
import { gangModel } from '../gang/model.js';
import type { GangBounds } from '../gang/state.js';
import { GuardReplay, viewOf } from './guard-replay.js';
import { OwnerReplay } from './owner-replay.js';

/**
 * Says where real code and model differ first, if they do. Acts that only a mutant allows are offered to the real
 * code too, which must refuse them as the model does; they leave the model's state as it is.
 */
export function replayGang(bounds: GangBounds, acts: GangAct[]): string | undefined {
  const model = gangModel(bounds);
  const guards = [new GuardReplay(0), new GuardReplay(1)];
  const owners = [new OwnerReplay(0, bounds), new OwnerReplay(1, bounds)];
  let state = model.start;
  for (let i = 0; i < acts.length; i += 1) {
    const act = acts[i]!;
    const before = state;
    const after = model.step(before, act);
    state = after ?? before;
    const where = `step ${i + 1}, ${model.describe(act)}`;
    const permits = (as: Conclusion) =>
      act.kind === 'conclude' && model.step(before, { ...act, as, how: 'answered' }) !== undefined;
    const differs = owners.flatMap((owner) => owner.apply(act, { before, after, permits }) ?? []);
    if (differs.length > 0) return `${where}: ${differs.join('; ')}`;
    const target = targetOf(act);
    if (target !== undefined) guards[target]!.apply(act, before, state);
    const wrong = state.guards.findIndex(
      (guard, g) => guard.up && !isDeepStrictEqual(guards[g]!.view(), viewOf(guard)),
    );
    if (wrong >= 0) {
      const real = JSON.stringify(guards[wrong]!.view());
      return `${where}: guard ${wrong} has ${real}, not ${JSON.stringify(viewOf(state.guards[wrong]!))}`;
    }
  }
  return undefined;
}

function targetOf(act: GangAct): number | undefined {
  if (act.kind === 'deliver') return act.order.guard;
  return 'guard' in act ? act.guard : undefined;
}
