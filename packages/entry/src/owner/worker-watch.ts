/** The workers of one failure domain, from announcements to scheduler events. */
import type { Member, SchedulerEvent, Worker } from '@zincspan/core';
import type { MembershipChange, UpstreamMember } from '../membership/upstream-member.js';
import type { GuardDirectory } from './guard-orders.js';
import type { PlacedMember } from './placed-member.js';

/** What an owner needs of the directory of upstreams. */
export interface OwnerDirectory extends GuardDirectory {
  workers(failureDomain: string): UpstreamMember<Worker>[];
  onChange(fn: (change: MembershipChange) => void): () => void;
}

/** What a worker watch tells. */
export interface WorkerWatchOptions {
  failureDomain: string;
  directory: OwnerDirectory;
  post: (event: SchedulerEvent) => void;
  /** A guard was linked again, was restarted, or fell silent. */
  onGuard: (guard: string) => void;
}

/** Follows membership changes of one failure domain. */
export class WorkerWatch {
  readonly #options: WorkerWatchOptions;

  #unsubscribe: (() => void) | undefined;

  constructor(options: WorkerWatchOptions) {
    this.#options = options;
  }

  /** Tells of every worker known, and of each change from now on. */
  start(): void {
    const { directory, failureDomain } = this.#options;
    this.#unsubscribe = directory.onChange((change) => this.#changed(change));
    directory.workers(failureDomain).forEach((member) => this.#tell(member));
  }

  stop(): void {
    this.#unsubscribe?.();
  }

  /** Guards of the failure domain's workers, with their incarnations. */
  guards(): { guard: string; incarnation: string }[] {
    const { directory, failureDomain } = this.#options;
    const guards = directory.workers(failureDomain).map(({ guard, incarnation }) => ({
      guard,
      incarnation: directory.guardIncarnation(guard) ?? incarnation,
    }));
    return [...new Map(guards.map((each) => [each.guard, each])).values()];
  }

  /** Names the guards of a placement; a worker that is gone gives its name instead. */
  locate(members: Member[]): { placed: PlacedMember[] } | { missing: string } {
    const { directory, failureDomain } = this.#options;
    const known = new Map(
      directory.workers(failureDomain).map((member) => [member.upstream.id, member]),
    );
    const missing = members.find(({ worker }) => !known.has(worker));
    if (missing !== undefined) return { missing: missing.worker };
    const placed = members.flatMap((member) => {
      const found = known.get(member.worker);
      if (found === undefined) return [];
      const { guard } = found;
      const incarnation = directory.guardIncarnation(guard) ?? found.incarnation;
      return [{ ...member, guard, incarnation }];
    });
    return { placed };
  }

  #changed(change: MembershipChange): void {
    const { onGuard, post } = this.#options;
    if (change.type === 'linked') {
      onGuard(change.guard);
      return;
    }
    const { upstream, failureDomain, guard } = change.member;
    if (failureDomain !== this.#options.failureDomain || upstream.type !== 'worker') return;
    if (change.type === 'left') {
      const how = change.how === 'expired' ? 'lost' : 'draining';
      post({ type: 'worker-left', worker: upstream.id, how });
    } else {
      this.#tell({ ...change.member, upstream });
    }
    onGuard(guard);
  }

  #tell({ upstream, state }: UpstreamMember<Worker>): void {
    const { post } = this.#options;
    if (state === 'ready') post({ type: 'worker-ready', worker: upstream });
    else post({ type: 'worker-left', worker: upstream.id, how: 'draining' });
  }
}
