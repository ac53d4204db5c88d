/** The operator's configuration in the project's own terms. */

/** A queue of jobs. `host` and `pathPrefix` select it. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  /** Whose runners run its tasks. */
  service: string;
  /** 0 comes first and may preempt others. */
  priority: number;
  /** Failed runs of a task, or of a gang, after which the job has failed. */
  maxAttempts: number;
  /** A job's objective is this many times its longest chain of work, plus `targetLatencyMs`. */
  stretch: number;
  targetLatencyMs: number;
  /** Needs no key. */
  isPublic: boolean;
  /** Its steps may run only where the placement advisor approves. */
  needsAdvice: boolean;
}

/** A service: a pool of workers with their runners. */
export interface Service {
  name: string;
  /** Its runners refuse what doesn't fit; else they start whatever they are told to. */
  guardsCapacity: boolean;
  /** Its VMs are off and aren't paid for. */
  standby: boolean;
}

/** A client account. */
export interface Account {
  name: string;
  keys: readonly string[];
  /** Accelerators that are its own for jobs of priority 0, at all times. */
  guaranteedAccelerators: number;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version, in full. */
export interface CellConfig {
  version: number;
  queues: readonly Queue[];
  services: readonly Service[];
  accounts: readonly Account[];
  limits: CallerLimits;
}

/** The queue with the longest prefix of the path, under this host. */
export function findQueue(config: CellConfig, host: string, path: string): Queue | undefined {
  return config.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix))
    .reduce<Queue | undefined>(
      (best, queue) =>
        best === undefined || queue.pathPrefix.length > best.pathPrefix.length ? queue : best,
      undefined,
    );
}

/** The account that a key belongs to. */
export function accountOfKey(config: CellConfig, key: string): Account | undefined {
  return config.accounts.find(({ keys }) => keys.includes(key));
}
