/** Operators' routes under /v1/operator/bundle: propose, roll out, read versions, history and what is in force. */
import type { Request, Server } from '@hapi/hapi';
import {
  BUNDLE_HEAD_KEY,
  BUNDLE_HISTORY_PREFIX,
  FindingsError,
  ProblemError,
  bundleHeadRowSchema,
  bundleHeadSchema,
  bundleHistoryKey,
  bundleSchema,
  checkBundle,
  checkValue,
  problem,
  type BundleAndHead,
  type BundleHead,
  type BundleHeadRow,
} from '@zincspan/core';
import * as z from 'zod';
import type { EntryDeps } from '../app.js';
import type { EntryBundles } from '../bundle/app.js';
import { readBody } from '../bundle/head-watch.js';
import { askProcesses } from './ask-processes.js';
import { callingOperator } from './operator-auth.js';
import { Proposals } from './proposals.js';
import { Rollout, type RolloutResult } from './rollout.js';

/** Longest body of a proposal, in bytes. */
const MAX_PROPOSAL_BYTES = 4 * 1_048_576;

const MAX_HISTORY = 1000;

const proposalSchema = z.strictObject({
  bundle: bundleSchema,
  note: z.string().max(500).default(''),
});
const rolloutSchema = z.strictObject({ head: bundleHeadSchema });
const historySchema = z.object({ limit: z.coerce.number().int().min(1).max(500).default(20) });

/** What an operator's bundle calls work with. */
export class BundleDesk {
  readonly #deps: EntryDeps;

  readonly #bundles: EntryBundles;

  readonly #proposals: Proposals;

  readonly #rollout: Rollout;

  constructor(deps: EntryDeps, bundles: EntryBundles) {
    this.#deps = deps;
    this.#bundles = bundles;
    const { table, objectStore, settings, ctx } = deps;
    const workers = (): ReturnType<typeof announcedWorkers> => announcedWorkers(deps);
    this.#proposals = new Proposals({ keeper: bundles.keeper, objectStore, workers });
    this.#rollout = new Rollout({
      table,
      operators: settings.operators,
      clock: ctx.clock,
      inForce: () => bundles.keeper.version,
    });
  }

  /** Checks and stores a proposal. */
  async propose(req: Request): Promise<object> {
    const { bundle, note } = checkValue(req.payload, proposalSchema, { source: 'The proposal' });
    const proposal = await this.#proposals.propose(bundle, note);
    const { version } = proposal.head;
    const by = callingOperator(req);
    this.#deps.ctx.timeline.record('bundle.proposed', `bundle/${version}`, { by });
    this.#deps.ctx.metrics.count('bundle.proposed');
    return proposal;
  }

  /** Rolls a signed head out and puts it in force here, from where it spreads. */
  async rollOut(req: Request): Promise<RolloutResult> {
    const { head } = checkValue(req.payload, rolloutSchema, { source: 'The rollout' });
    const by = callingOperator(req);
    const body = await this.#readProposed(head);
    try {
      const result = await this.#rollout.roll(head, by);
      this.#note('bundle.rolled-out', head, { by, outcome: result.outcome });
      this.#bundles.sync.offerBundle(result.row.head, body, 'rollout');
      return result;
    } catch (err) {
      this.#note('bundle.rollout-refused', head, { by });
      throw err;
    }
  }

  /** A version's head and body: a number, or `current`. */
  async version(name: string): Promise<BundleAndHead> {
    const { current } = this.#bundles.keeper;
    if (current && (name === 'current' || Number(name) === current.head.version)) return current;
    if (!/^[1-9]\d{0,11}$/.test(name)) throw noSuchVersion(name);
    const { value } = await this.#deps.table.get(bundleHistoryKey(Number(name)));
    if (value === null) throw noSuchVersion(name);
    const { head } = checkValue(value, bundleHeadRowSchema, { source: `Version ${name}` });
    return { head, bundle: await readBody(this.#deps.objectStore, head.digest) };
  }

  /** Latest versions rolled out, the newest first. */
  async history(req: Request): Promise<{ versions: BundleHeadRow[] }> {
    const { limit } = checkValue(req.query, historySchema, { source: 'The query' });
    const head = await this.#deps.table.get(BUNDLE_HEAD_KEY);
    if (head.value === null) return { versions: [] };
    const { version } = checkValue(head.value, bundleHeadRowSchema).head;
    const after = bundleHistoryKey(Math.max(0, version - limit));
    const rows = await this.#deps.table.scan(BUNDLE_HISTORY_PREFIX, { after, limit: MAX_HISTORY });
    const versions = rows.map(({ value }) => checkValue(value, bundleHeadRowSchema));
    return { versions: versions.reverse().slice(0, limit) };
  }

  /** Version in force in every process. */
  async status(): Promise<object> {
    const { answers, unreachable } = await askProcesses(this.#deps, 'process.status', {});
    const { self } = this.#deps.ctx;
    const own = {
      process: self.id,
      role: self.role,
      failureDomain: self.failureDomain,
      version: this.#bundles.keeper.version,
    };
    const others = answers.map(({ answer, ...process }) => ({
      ...process,
      version: versionIn(answer.status),
    }));
    const head = this.#bundles.keeper.current?.head;
    return { head, processes: [own, ...others], unreachable };
  }

  async #readProposed(head: BundleHead): Promise<BundleAndHead['bundle']> {
    const body = await readBody(this.#deps.objectStore, head.digest);
    const findings = checkBundle(body);
    if (findings.length > 0) throw new FindingsError(`Bundle ${head.version}`, findings);
    this.#proposals.checkFit(body);
    return body;
  }

  #note(event: string, { version }: BundleHead, detail: Record<string, string>): void {
    this.#deps.ctx.timeline.record(event, `bundle/${version}`, detail);
    this.#deps.ctx.metrics.count(event);
    this.#deps.ctx.log.info({ version, ...detail }, event);
  }
}

/** Adds the routes. */
export function registerBundleRoutes(server: Server, desk: BundleDesk): void {
  const options = { auth: 'operator' };
  const upload = { ...options, payload: { maxBytes: MAX_PROPOSAL_BYTES } };
  const base = '/v1/operator/bundle';
  server.route([
    {
      method: 'POST',
      path: `${base}/proposals`,
      options: upload,
      handler: (req) => desk.propose(req),
    },
    { method: 'POST', path: `${base}/rollouts`, options, handler: (req) => desk.rollOut(req) },
    { method: 'GET', path: `${base}/status`, options, handler: () => desk.status() },
    { method: 'GET', path: `${base}/history`, options, handler: (req) => desk.history(req) },
    {
      method: 'GET',
      path: `${base}/versions/{version}`,
      options,
      handler: (req) => desk.version(String(req.params.version)),
    },
  ]);
}

/** Workers known to this entry, where they are. */
function announcedWorkers({ upstreams }: EntryDeps) {
  return upstreams
    .all()
    .flatMap(({ upstream, failureDomain }) =>
      upstream.type === 'worker' ? [{ ...upstream, failureDomain }] : [],
    );
}

/** The version that a process's status tells, under `bundle`; -1 if it tells none. */
function versionIn(status: Record<string, unknown>): number {
  const { bundle } = status as { bundle?: { version?: unknown } };
  return typeof bundle?.version === 'number' ? bundle.version : -1;
}

function noSuchVersion(name: string): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: `There is no bundle version "${name}".`,
      remedy: 'See "zincspan bundle history" for those there are; "current" is the one in force.',
    }),
  );
}
