/** Asks every process at once, and tells which could not be reached. */
import { toProblem, type Method, type MethodReq, type MethodRes, type Peer } from '@zincspan/core';
import type { EntryDeps } from '../app.js';
import { linkedPeers } from '../bundle/app.js';

/** One process's answer. */
export interface ProcessAnswer<T> {
  process: string;
  role: 'entry' | 'guard';
  failureDomain: string;
  answer: T;
}

/** A process that should be there but didn't answer, and why. */
export interface UnreachableProcess {
  process: string;
  why: string;
}

/** Answers of all processes that could be reached, and the others. */
export interface AnswersOfAll<T> {
  answers: ProcessAnswer<T>[];
  unreachable: UnreachableProcess[];
}

const ASK_TIMEOUT_MS = 2000;

/** Calls `method` on every linked process; entries of the settings and known guards without a link are told apart. */
export async function askProcesses<M extends Method>(
  deps: Pick<EntryDeps, 'ctx' | 'settings' | 'mesh' | 'upstreams'>,
  method: M,
  req: MethodReq<M>,
): Promise<AnswersOfAll<MethodRes<M>>> {
  const peers = linkedPeers(deps);
  const results = await Promise.all(peers.map((peer) => ask(peer, method, req)));
  const missing = missingProcesses(deps, new Set(peers.map(({ process }) => process.id)));
  return {
    answers: results.flatMap((result) => ('answer' in result ? [result] : [])),
    unreachable: [...missing, ...results.flatMap((result) => ('why' in result ? [result] : []))],
  };
}

async function ask<M extends Method>(
  peer: Peer,
  method: M,
  req: MethodReq<M>,
): Promise<ProcessAnswer<MethodRes<M>> | UnreachableProcess> {
  const { id, role, failureDomain } = peer.process;
  try {
    const answer = await peer.call(method, req, { timeoutMs: ASK_TIMEOUT_MS });
    return { process: id, role, failureDomain, answer };
  } catch (err) {
    return { process: id, why: toProblem(err).detail };
  }
}

function missingProcesses(
  { ctx, settings, upstreams }: Pick<EntryDeps, 'ctx' | 'settings' | 'upstreams'>,
  linked: Set<string>,
): UnreachableProcess[] {
  const entries = settings.entries.map(({ id }) => id).filter((id) => id !== ctx.self.id);
  const guards = upstreams.all().map(({ guard }) => guard);
  return [...new Set([...entries, ...guards])]
    .filter((id) => !linked.has(id))
    .map((process) => ({ process, why: 'No link to it from this entry.' }));
}
