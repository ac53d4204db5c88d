/** Calls of a scenario's callers about jobs and claims, at whichever entries can answer. */
import assert from 'node:assert/strict';
import type { Answer } from '../deployment/caller.js';
import type { E2eWorld } from './e2e-world.support.js';
import { eventually, Processes } from './processes.support.js';

/** A job as the API shows it. */
export interface JobView {
  id: string;
  state: string;
  final: boolean;
  attempt: number;
  endedAt?: number;
  outcome?: { ran: string; kind: string; detail: string };
}

/** A claim as the API shows it. */
export interface ClaimView {
  id: string;
  state: string;
  heldAfterMs?: number;
}

/** A row of a scenario's table of jobs to submit. */
export type JobLine = Record<string, string>;

const SPEC_COLUMNS = ['name', 'kind', 'tasks', 'accelerators', 'claim', 'key', 'declaredRunMs'];
const WAIT_MS = 2000;
const CALL_MS = 10_000;

/** Accounts by the name of the job or claim that they asked for. */
const accounts = new WeakMap<E2eWorld, Map<string, string>>();

function accountsOf(world: E2eWorld): Map<string, string> {
  const known = accounts.get(world) ?? new Map<string, string>();
  accounts.set(world, known);
  return known;
}

/** Account that asked for a job or claim. */
export function accountOf(world: E2eWorld, name: string): string {
  return accountsOf(world).get(name) ?? 'none';
}

/** Account and id of a job, as the workers' ledgers name it. */
export function jobOf(world: E2eWorld, name: string): string {
  return `${accountOf(world, name)}/${world.id(name)}`;
}

/** URL of an entry by the name that a step uses. */
export async function entryUrl(world: E2eWorld, entry: string): Promise<string> {
  return world.url(await Processes.of(world).idOf(entry));
}

/** Submits one job; its answer and id are kept under its name. */
export async function submit(
  world: E2eWorld,
  { account, url, line }: { account: string; url: string; line: JobLine },
): Promise<Answer> {
  const { name = '', key } = line;
  await untilKnown(world, account, url);
  const answer = await world.caller(account).call('POST', `${url}/v1/jobs`, {
    body: specOf(world, line),
    ...(key ? { headers: { 'idempotency-key': key } } : {}),
    timeoutMs: CALL_MS,
  });
  accountsOf(world).set(name, account);
  world.answers.set(name, answer);
  const { id } = answer.body as { id?: string };
  if (answer.status < 300 && id !== undefined) world.ids.set(name, id);
  return answer;
}

/** An entry learns of the bundle a moment after its roll-out, or after its own start. */
async function untilKnown(world: E2eWorld, account: string, url: string): Promise<void> {
  await eventually(async () => {
    const { status } = await world.caller(account).call('GET', `${url}/v1/jobs?limit=1`);
    return status !== 401;
  });
}

/** Columns that don't belong to the specification are parameters of the tasks. */
function specOf(world: E2eWorld, line: JobLine): object {
  const { kind, tasks = '1', accelerators = '8', claim, declaredRunMs } = line;
  const params = Object.entries(line).filter(([column]) => !SPEC_COLUMNS.includes(column));
  const given = params.filter(([, value]) => value !== '');
  return {
    kind,
    shape: { tasks: Number(tasks), acceleratorsPerTask: Number(accelerators) },
    params: Object.fromEntries(given.map(([column, value]) => [column, JSON.parse(value)])),
    ...(claim ? { claim: world.id(claim) } : {}),
    ...(declaredRunMs ? { declaredRunMs: Number(declaredRunMs) } : {}),
  };
}

/** A job at any entry that can answer; undefined if none does now. */
export async function view(world: E2eWorld, name: string): Promise<JobView | undefined> {
  const path = `/v1/jobs/${world.id(name)}`;
  return ask<JobView>(world, accountOf(world, name), path);
}

/** Waits for a job's end at any entry that can answer. */
export async function untilFinal(world: E2eWorld, name: string): Promise<JobView> {
  const path = `/v1/jobs/${world.id(name)}/wait?timeoutMs=${WAIT_MS}`;
  let found: JobView | undefined;
  await eventually(async () => {
    found = await ask<JobView>(world, accountOf(world, name), path);
    return found?.final === true;
  });
  assert.ok(found);
  return found;
}

/** Asks for a claim of the account's guarantee. */
export async function claimShape(
  world: E2eWorld,
  { account, name, url }: { account: string; name: string; url: string },
): Promise<void> {
  const body = { guarantee: 'shape' };
  const answer = await world.caller(account).call('POST', `${url}/v1/claims`, { body });
  assert.ok(answer.status < 300, JSON.stringify(answer));
  accountsOf(world).set(name, account);
  world.ids.set(name, (answer.body as ClaimView).id);
}

/** Gives a claim back. */
export async function release(world: E2eWorld, name: string, url: string): Promise<void> {
  const path = `${url}/v1/claims/${world.id(name)}`;
  const answer = await world.caller(accountOf(world, name)).call('DELETE', path);
  assert.ok(answer.status < 300, JSON.stringify(answer));
}

/** Waits until a claim is held or never will be. */
export async function untilClaimed(world: E2eWorld, name: string): Promise<ClaimView> {
  const path = `/v1/claims/${world.id(name)}/wait?timeoutMs=${WAIT_MS}`;
  let found: ClaimView | undefined;
  await eventually(async () => {
    found = await ask<ClaimView>(world, accountOf(world, name), path);
    return found !== undefined && found.state !== 'claiming';
  });
  assert.ok(found);
  return found;
}

/** The first whole answer of an entry that can answer; undefined if there is none now. */
async function ask<T>(world: E2eWorld, account: string, path: string): Promise<T | undefined> {
  for (const url of await Processes.of(world).urls()) {
    const answer = await world
      .caller(account)
      .call('GET', `${url}${path}`, { timeoutMs: CALL_MS })
      .catch(() => undefined);
    if (answer?.status === 200) return answer.body as T;
  }
  return undefined;
}
