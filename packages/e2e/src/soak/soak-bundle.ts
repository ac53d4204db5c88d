/** The bundle of a soak run; each rollout varies it. */
import type { AccountToken } from '../deployment/credentials.js';
import type { BundleText } from '../deployment/rollout.js';

/** `revision` makes a bundle that differs from the others. */
export function soakBundle(
  { account, sha256 }: AccountToken,
  { revision, drained = [] }: { revision: number; drained?: string[] },
): BundleText {
  const contract = { withinMs: 5000 };
  return {
    accounts: [{ name: account, tokens: [{ id: `soak-${revision}`, sha256 }] }],
    kinds: [
      { name: 'match', path: 'request', urgency: 'urgent', idempotent: true, contract },
      { name: 'booking', path: 'request', urgency: 'urgent', idempotent: false, contract },
      { name: 'render', path: 'job', urgency: 'waiting', idempotent: true, checkpointable: true },
      { name: 'entry', path: 'job', urgency: 'waiting', idempotent: false },
    ],
    guarantees: [],
    drained,
  };
}
