/** The operator's configuration, independent of its wire format. */

/** A queue of jobs, selected by a request's host and path prefix. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  /** Name of the service whose runners run its tasks. */
  service: string;
  /** 0 is the highest priority and may preempt others. */
  priority: number;
  /** Number of failed runs of a task, or of a gang, after which the job fails. */
  maxAttempts: number;
  /** A job's latency objective is this many times its critical path, plus `targetLatencyMs`. */
  stretch: number;
  targetLatencyMs: number;
  /** Requests need no API key. */
  isPublic: boolean;
  /** Steps may run only where the placement advisor approves. */
  needsAdvice: boolean;
}

/** A service: a pool of workers with their runners. */
export interface Service {
  name: string;
  /** Its runners refuse tasks that exceed their capacity; otherwise they start whatever they are told to. */
  guardsCapacity: boolean;
  /** Its VMs are powered off and not billed. */
  standby: boolean;
}

/** A client account. */
export interface Account {
  name: string;
  keys: readonly string[];
  /** Accelerators reserved at all times for this account's jobs of priority 0. */
  guaranteedAccelerators: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface CellConfig {
  version: number;
  queues: readonly Queue[];
  services: readonly Service[];
  accounts: readonly Account[];
  limits: CallerLimits;
}

/** Finds the queue of this host whose prefix is the longest match for the path. */
export function findQueue(config: CellConfig, host: string, path: string): Queue | undefined {
  return config.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix))
    .reduce<Queue | undefined>(
      (best, queue) =>
        best === undefined || queue.pathPrefix.length > best.pathPrefix.length ? queue : best,
      undefined,
    );
}

/** Finds the account that an API key belongs to. */
export function findAccount(config: CellConfig, key: string): Account | undefined {
  return config.accounts.find(({ keys }) => keys.includes(key));
}
