/** Rules of a gang's attempt. Each one is removed once to see that the checker notices. */
import type { Rule } from '../explore/model.js';

export const GANG_RULES = [
  { id: 'all-ready', text: 'the row is written started only when every member is ready' },
  { id: 'row-first', text: 'no start is sent before the row says started' },
  { id: 'read-back', text: 'a write without an answer is read back before anything else' },
  { id: 'own-write', text: 'reading back asks for the own write id, not only for the state' },
  { id: 'compare-and-set', text: 'a row changes only if it is as its writer last read it' },
  { id: 'once', text: 'a non-idempotent job is never queued again after started' },
  { id: 'all-ended', text: 'an attempt concludes only after every member has surely ended' },
  { id: 'stop-others', text: 'a member that is lost or failed stops all others' },
  { id: 'not-run-barred', text: 'not-run is said only of attempts whose every member was barred' },
  { id: 'ran-known', text: 'ran is said only when a member is known to have run' },
  { id: 'own-attempt', text: 'a conclusion is written only over the row of its own attempt' },
  { id: 'all-succeeded', text: 'succeeded is said only when every member succeeded' },
  { id: 'term', text: 'a guard refuses orders below the highest term it has seen' },
  { id: 'incarnation', text: 'a guard refuses orders for another incarnation' },
  { id: 'one-reservation', text: 'a guard reserves only an accelerator that is free' },
  { id: 'held', text: 'a guard starts only a reservation that it still holds' },
  { id: 'lease-before', text: 'a guard checks the lease right before the start' },
  { id: 'lease-at-start', text: 'a worker refuses to start a task whose lease has lapsed' },
  { id: 'tombstone', text: 'a stopped or ended attempt leaves a tombstone that bars reserving it' },
  { id: 'keep-tombstone', text: 'a tombstone stays while an order of its term may still arrive' },
  { id: 'clean-restart', text: 'a restarted guard serves only after its old tasks have stopped' },
] as const satisfies Rule[];

export type GangRule = (typeof GANG_RULES)[number]['id'];
