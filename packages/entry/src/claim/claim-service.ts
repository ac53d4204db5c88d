/** What callers may do with claims of their guaranteed shapes, apart from HTTP. */
import {
  claimKey,
  ProblemError,
  problem,
  toProblem,
  type ClaimRow,
  type Guarantee,
  type ProcessContext,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import { notFound, reading } from '../job/body.js';
import { idOfKey, newId } from '../job/job-id.js';
import type { KnownWorkers } from '../job/known-workers.js';
import { chooseFailureDomain } from '../job/placement-choice.js';
import type { Owners } from '../owner/owners.js';
import { changeClaim, isOver } from './claim-change.js';
import type { ClaimRecord, ClaimStore, StandingClaims } from './claim-store.js';

/** Tries at rows that others keep changing. */
const MOST_TRIES = 8;

/** When to come back after the table failed, in ms. */
const RETRY_AFTER_MS = 5000;

/** What the service is made from. */
export interface ClaimServiceOptions {
  ctx: ProcessContext;
  bundles: BundleSource;
  store: ClaimStore;
  owners: Owners;
  knownWorkers: KnownWorkers;
}

/** Makes, reads and releases claims. Every method throws ProblemError. */
export class ClaimService {
  readonly #options: ClaimServiceOptions;

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
  }

  /** Accepts a claim once its row is known to be written. */
  async claim(
    account: string,
    guaranteeName: string,
    key?: string,
  ): Promise<{ row: ClaimRow; isNew: boolean }> {
    const guarantee = this.#guarantee(account, guaranteeName);
    const id = key === undefined ? newId() : idOfKey(account, 'claim', key);
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const before = key === undefined ? undefined : await this.#repeated(account, id, guarantee);
      if (before !== undefined) return { row: before, isNew: false };
      const standing = await this.#options.store.standing(account, guarantee.name);
      if (standing.ids.length >= guarantee.count) throw allClaimed(guarantee, standing);
      const row = await this.#newRow(id, guarantee, standing);
      if (await this.#create(row, standing)) return { row, isNew: true };
    }
    throw keptChanging(id, 'not-run');
  }

  /** A claim of the account. */
  async read(account: string, id: string): Promise<ClaimRow> {
    return (await this.#record(account, id)).row;
  }

  /** Gives a claim back. Jobs that run inside it may finish first. */
  async release(account: string, id: string): Promise<ClaimRow> {
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const record = await this.#record(account, id);
      const released = changeClaim(record.row, { type: 'release' });
      if (released === undefined) return record.row;
      const saved = await this.#options.store.save(record, released);
      if (saved === 'conflict') continue;
      this.#note('claim.release-asked', released);
      void this.#options.owners.claimChanged(released.failureDomain, account, id);
      return released;
    }
    throw keptChanging(id, 'unknown');
  }

  #guarantee(account: string, name: string): Guarantee {
    const guarantees = this.#options.bundles.current?.bundle.guarantees ?? [];
    const known = guarantees.find((each) => each.name === name && each.account === account);
    if (known === undefined) throw noGuarantee(name);
    return known;
  }

  async #record(account: string, id: string): Promise<ClaimRecord> {
    const record = await reading(() => this.#options.store.read(account, id));
    if (record === undefined) throw notFound('claim', id);
    return record;
  }

  async #repeated(account: string, id: string, { name }: Guarantee): Promise<ClaimRow | undefined> {
    const before = await reading(() => this.#options.store.read(account, id));
    if (before === undefined || before.row.guarantee === name) return before?.row;
    throw new ProblemError(
      problem('key-reused', {
        detail: `This Idempotency-Key belongs to claim ${id} of guarantee ${before.row.guarantee}.`,
        remedy: 'Send a new key with a new claim.',
        facts: { claim: id },
      }),
    );
  }

  /** Failure domains for a claim: those with a copy that no other claim uses, else all that may take it. */
  async #candidates(guarantee: Guarantee, { ids }: StandingClaims): Promise<string[]> {
    const { owners, store } = this.#options;
    if (guarantee.failureDomain !== undefined) return [guarantee.failureDomain];
    const standing = await reading(() =>
      Promise.all(ids.map((id) => store.read(guarantee.account, id))),
    );
    const used = standing.map((record) => record?.row.failureDomain);
    const free = owners.failureDomains.filter((each) => {
      const kept = owners.copies.of(each)[guarantee.name] ?? 0;
      const isUsed = used.filter((other) => other === each).length >= kept;
      return !isUsed && owners.outlook.isHosted(each, guarantee.shape) !== false;
    });
    return free.length > 0 ? free : owners.failureDomains;
  }

  async #newRow(id: string, guarantee: Guarantee, standing: StandingClaims): Promise<ClaimRow> {
    const { account, name, shape } = guarantee;
    const { knownWorkers, ctx } = this.#options;
    const failureDomains = await this.#candidates(guarantee, standing);
    return {
      id,
      account,
      guarantee: name,
      failureDomain: chooseFailureDomain(id, shape, {
        failureDomains,
        knownWorkers,
        expectedWaitMs: () => undefined,
      }),
      state: 'claiming',
      submittedAt: ctx.clock.wall(),
    };
  }

  async #create(row: ClaimRow, standing: StandingClaims): Promise<boolean> {
    const { store, owners } = this.#options;
    try {
      if ((await store.create(row, standing)) === 'conflict') return false;
    } catch (err) {
      const { ran, detail } = toProblem(err);
      throw new ProblemError(
        problem('store-unavailable', {
          detail,
          ran,
          remedy: `Ask for claim ${row.id}; if it isn't there, claim again after the time given.`,
          retryAfterMs: RETRY_AFTER_MS,
          facts: { claim: row.id },
        }),
      );
    }
    this.#note('claim.accepted', row);
    void owners.claimChanged(row.failureDomain, row.account, row.id);
    return true;
  }

  #note(type: string, { account, id, failureDomain }: ClaimRow): void {
    const { ctx } = this.#options;
    const key = claimKey(account, id);
    ctx.metrics.count(type);
    ctx.timeline.record(type, key, { job: key, failureDomain });
  }
}

/** Whether waiting for a claim is over: it is held, or never will be. */
export function isSettledClaim(row: ClaimRow): boolean {
  return row.state === 'held' || isOver(row);
}

function allClaimed({ name, count }: Guarantee, { ids }: StandingClaims): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `Guarantee ${name} gives ${count} at once, and ${ids.length} are claimed.`,
      remedy: 'Release one of the claims that stand, or use it.',
      facts: { count, claimed: ids.length },
    }),
  );
}

function keptChanging(id: string, ran: 'not-run' | 'unknown'): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `Claim ${id} or its guarantee kept changing.`,
      remedy: 'Send the request again.',
      ran,
    }),
  );
}

function noGuarantee(name: string): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: `This account has no guarantee ${name}.`,
      remedy: 'Claim a guarantee that the bundle in force gives this account.',
    }),
  );
}
