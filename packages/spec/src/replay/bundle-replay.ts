/** Replays sequences of the bundle model against the real keepers of two daemons. */
import {
  BundleKeeper,
  bundleSchema,
  digestBundle,
  newOperatorKey,
  signHead,
  type Bundle,
  type BundleHead,
} from '@zincspan/core';
import { bundleModel, type BundleAct, type Head } from '../bundle/model.js';

const KEYS = [await newOperatorKey('bat'), await newOperatorKey('anu')];
const OPERATORS = KEYS.map(({ operator, publicKey }) => ({ name: operator, publicKey }));

function bodyOf({ version, by }: Head, isSound: boolean): Bundle {
  const drained = [isSound ? `worker-${version}-${by}` : 'another'];
  return bundleSchema.parse({ accounts: [], kinds: [], drained });
}

function signed(head: Head): BundleHead {
  const { version, signatures } = head;
  const digest = digestBundle(bodyOf(head, true));
  const unsigned = { version, digest, parent: version - 1, note: '', signatures: [] };
  const keys = KEYS.slice(0, signatures);
  return { ...unsigned, signatures: keys.map((key) => signHead(unsigned, key)) };
}

function newKeeper(): BundleKeeper {
  return new BundleKeeper({ operators: OPERATORS });
}

/** Says where the real keepers and the model differ first, if they do. */
export function replayBundle(
  bounds: { versions: number; faults: number },
  acts: BundleAct[],
): string | undefined {
  const model = bundleModel(bounds);
  const keepers = [newKeeper(), newKeeper()];
  let state = model.start;
  for (let i = 0; i < acts.length; i += 1) {
    const act = acts[i]!;
    const { row } = state;
    const next = model.step(state, act);
    state = next ?? state;
    if (act.kind === 'restart-daemon' && next) keepers[act.daemon] = newKeeper();
    if (act.kind === 'read-row' && row) offer(keepers[act.daemon]!, row, true);
    // A head that isn't out by the rules isn't offered to the real keepers either.
    const isOut = act.kind === 'offer' && isOffered(state.offers, act.head);
    if (act.kind === 'offer' && isOut) offer(keepers[act.daemon]!, act.head, act.sound);
    const wrong = state.daemons.findIndex(
      ({ head }, d) => keepers[d]!.version !== (head?.version ?? 0),
    );
    if (wrong >= 0) {
      return `step ${i + 1}, ${model.describe(act)}: daemon ${wrong} has version ${keepers[wrong]!.version}`;
    }
  }
  return undefined;
}

function isOffered(offers: readonly Head[], { version, by }: Head): boolean {
  return offers.some((head) => head.version === version && head.by === by);
}

function offer(keeper: BundleKeeper, head: Head, isSound: boolean): void {
  keeper.offerBundle(signed(head), bodyOf(head, isSound));
}
