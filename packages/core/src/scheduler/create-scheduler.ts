/** Makes the scheduler that a bundle asks for. */
import type { Bundle } from '../bundle/bundle.js';
import { ContractScheduler } from './contract-scheduler.js';
import { FifoScheduler } from './fifo-scheduler.js';
import type { DomainScheduler } from './scheduler.js';

/** Scheduler of one failure domain; `scheduler` defaults to the bundle's policy. */
export function createScheduler({
  failureDomain,
  bundle,
  scheduler = bundle.policy.scheduler,
}: {
  failureDomain: string;
  bundle: Bundle;
  scheduler?: 'fifo' | 'contract';
}): DomainScheduler {
  if (scheduler === 'fifo') return new FifoScheduler({ bundle });
  return new ContractScheduler({ failureDomain, bundle });
}
