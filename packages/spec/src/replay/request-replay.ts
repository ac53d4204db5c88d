/** Replays sequences of the request model against the real request ledger. */
import { RequestLedger, requestIdOf, type RequestResult } from '@zincspan/core';
import { requestModel, type RequestAct, type RequestGuard } from '../request/model.js';

const ID = requestIdOf({ incarnation: 'entry-incarnation', sequence: 1 });
const MAX_AGE_MS = 1000;

const RESULT: RequestResult = {
  outcome: 'answered',
  status: 200,
  contentType: 'text/plain',
  body: new Uint8Array(),
  length: 0,
  serviceMs: 1,
  load: { inUse: 0, queued: 0, slots: 1 },
};

class LedgerReplay {
  #ledger = newLedger();

  #now = 0;

  /** Carries out an act; says how the ledger differs from the model, if it does. */
  apply(act: RequestAct, before: RequestGuard, after: RequestGuard): string | undefined {
    switch (act.kind) {
      case 'deliver':
        return this.#record(act.inc, before, after);
      case 'run-ends':
        if (after.ledger === 'ended') this.#ledger.end(ID, RESULT, this.#now);
        return undefined;
      case 'forget':
        this.#now += MAX_AGE_MS + 1;
        return undefined;
      case 'restart-guard':
        this.#ledger = newLedger();
        return undefined;
      default:
        return undefined;
    }
  }

  /** The entry asks; only the incarnation that was sent the request is asked. */
  settle(before: RequestGuard): string | undefined {
    const expected = before.ledger === 'unknown' ? 'never-seen' : before.ledger;
    const { state } = this.#ledger.settle(ID, this.#now);
    return state === expected ? undefined : `settled as ${state}, not ${expected}`;
  }

  #record(inc: number, before: RequestGuard, after: RequestGuard): string | undefined {
    // The link is to one incarnation; a copy for another never reaches the ledger.
    if (inc !== before.inc) return undefined;
    const runs = this.#ledger.record(ID, this.#now).state === 'recorded';
    const isNew = before.ledger === 'unknown' && after.ledger === 'running';
    return runs === isNew ? undefined : `passed to the runner: ${runs}, not ${isNew}`;
  }
}

function newLedger(): RequestLedger {
  return new RequestLedger({ ageMs: MAX_AGE_MS });
}

/** Says where the real ledger and the model differ first, if they do. */
export function replayRequest(
  bounds: { idempotent: boolean; faults: number },
  acts: RequestAct[],
): string | undefined {
  const model = requestModel(bounds);
  const ledgers = [new LedgerReplay(), new LedgerReplay()];
  let state = model.start;
  for (let i = 0; i < acts.length; i += 1) {
    const act = acts[i]!;
    const before = state;
    state = model.step(before, act) ?? before;
    const differs = differenceOf(act, ledgers, before.guards, state.guards, before.asked);
    if (differs) return `step ${i + 1}, ${model.describe(act)}: ${differs}`;
  }
  return undefined;
}

function differenceOf(
  act: RequestAct,
  ledgers: LedgerReplay[],
  before: readonly RequestGuard[],
  after: readonly RequestGuard[],
  asked: { guard: number; inc: number } | null,
): string | undefined {
  if (act.kind === 'settle') {
    const guard = asked && before[asked.guard];
    return guard?.inc === asked?.inc && asked ? ledgers[asked.guard]!.settle(guard!) : undefined;
  }
  if (!('guard' in act)) return undefined;
  const [was, is] = [before[act.guard]!, after[act.guard]!];
  // An act that only a mutant allows isn't carried out.
  if (was === is && act.kind !== 'deliver') return undefined;
  return ledgers[act.guard]!.apply(act, was, is);
}
