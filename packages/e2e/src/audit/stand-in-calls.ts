/** Calls to the stand-ins' own interfaces: their ledgers and their faults. */
import Wreck from '@hapi/wreck';
import type {
  PlatformFaults,
  RunnerFaults,
  RunnerLedger,
  TaskEntry,
  WorkerFaults,
} from '@zincspan/stand-ins';

const TIMEOUT_MS = 10_000;
const MAX_ROWS = 1000;

/** A worker's ledger as it is answered. */
export interface WorkerLedgerAnswer {
  entries: TaskEntry[];
  violations: number;
}

/** Ledger of the runner at `IP:port`. */
export function readRunnerLedger(address: string): Promise<RunnerLedger> {
  return call('GET', `http://${address}/ledger`);
}

/** Ledger of the worker at `IP:port`. */
export function readWorkerLedger(address: string): Promise<WorkerLedgerAnswer> {
  return call('GET', `http://${address}/ledger`);
}

/** Rows of the table of the platform at `IP:port`, in order of their keys. */
export async function readRows(address: string): Promise<unknown[]> {
  const url = `http://${address}/v1/rows?prefix=&limit=${MAX_ROWS}`;
  const { rows } = await call<{ rows: unknown[] }>('GET', url);
  return rows;
}

/** Requests that the runner at `IP:port` has in progress. */
export async function readInUse(address: string): Promise<number> {
  const { inUse } = await call<{ inUse: number }>('GET', `http://${address}/in-use`);
  return inUse;
}

/** Replaces all faults of the stand-in at `IP:port`. */
export function setFaults(
  address: string,
  faults: Partial<RunnerFaults & WorkerFaults & PlatformFaults>,
): Promise<unknown> {
  return call('PUT', `http://${address}/faults`, faults);
}

/** Has the runner at `IP:port` withdraw from its guard while it goes on serving. */
export function withdraw(address: string): Promise<unknown> {
  return call('POST', `http://${address}/withdraw`);
}

async function call<T>(method: string, url: string, payload?: object): Promise<T> {
  const options = { timeout: TIMEOUT_MS, ...(payload === undefined ? {} : { payload }) };
  const res = await Wreck.request(method, url, options);
  const text = (await Wreck.read(res, { timeout: TIMEOUT_MS })).toString();
  if (res.statusCode !== undefined && res.statusCode >= 300) {
    throw new Error(`${method} ${url} answered ${res.statusCode}: ${text}`);
  }
  return (text === '' ? undefined : JSON.parse(text)) as T;
}
