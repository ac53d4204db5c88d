/** What guards and other entries tell the owner of a failure domain. */
import { ProblemError, problem, type Handlers, type Peer } from '@zincspan/core';
import type { DomainOwner } from './domain-owner.js';
import type { Owners } from './owners.js';

/** Handlers of all messages to owners. */
export function ownerHandlers(owners: Owners): Handlers {
  return {
    'task.ready': (req, peer) => {
      ownerFor(owners, peer).taskReady(req);
      return {};
    },
    'task.ended': (req, peer) => {
      ownerFor(owners, peer).taskEnded(req, peer.process.id);
      return {};
    },
    'task.usage': (req, peer) => {
      ownerFor(owners, peer).taskUsage(req);
      return {};
    },
    'owner.reachable': (req, peer) => {
      owners.local(req.failureDomain)?.guardAnswered(peer.process.id);
      return { reachable: owners.isReachable(req) };
    },
    'owner.summary': (req) => {
      owners.outlook.summaries.take(req);
      return {};
    },
    'job.queued': ({ row, version }) => {
      ownerOf(owners, row.failureDomain).jobQueued(row, version);
      return {};
    },
    'job.cancel': async ({ account, id }) => ({ ran: await owners.cancelHere(account, id) }),
    'claim.changed': async ({ account, id }) => {
      await Promise.all(owners.all().map((owner) => owner.claimChanged(account, id)));
      return {};
    },
    'row.wait': async ({ key, timeoutMs }) => ({
      changed: await owners.waitForChange(key, timeoutMs),
    }),
    'owner.changed': async (req) => {
      await owners.ownerChanged(req);
      return {};
    },
  };
}

/** The owner that a guard means: that of its own failure domain. */
function ownerFor(owners: Owners, { process }: Peer): DomainOwner {
  const owner = ownerOf(owners, process.failureDomain);
  owner.guardAnswered(process.id);
  return owner;
}

function ownerOf(owners: Owners, failureDomain: string): DomainOwner {
  const owner = owners.local(failureDomain);
  if (owner !== undefined) return owner;
  const holder = owners.holder(failureDomain) ?? 'nobody yet';
  throw new ProblemError(
    problem('not-owner', {
      detail: `This entry doesn't own failure domain ${failureDomain}; its holder is ${holder}.`,
      remedy: 'Tell the holder, or wait for its orders.',
      ran: 'unknown',
      facts: { failureDomain, holder },
    }),
  );
}
