/** What the platform's operator, its callers and its machines write, in the platform's own names. */

/** A queue and the one account that may use it. */
export interface FleetConfig {
  version: number;
  host: string;
  pathPrefix: string;
  service: string;
  maxAttempts: number;
  account: string;
  keys: readonly string[];
}

/** The operator's configuration of one queue. */
export function encodeFleetConfig({
  version,
  host,
  pathPrefix,
  service,
  maxAttempts,
  account,
  keys,
}: FleetConfig): object {
  const route = {
    name: 'queue',
    host,
    path_prefix: pathPrefix,
    service,
    priority: 1,
    max_attempts: maxAttempts,
    stretch: 3,
    target_latency_ms: 1000,
  };
  return {
    version,
    routes: [route],
    services: [{ name: service, admission_check: true }],
    tenants: [{ name: account, api_keys: keys }],
  };
}

/** One step of a job. */
export interface FleetStep {
  tasks: number;
  accelerators: number;
  estimateMs: number;
  gang: boolean;
  checkpointing: boolean;
  after: readonly number[];
}

const MILLI_CORES = 1000;
const MEMORY_MB = 100;

/** A job as a caller hands it in. */
export function encodeFleetJob(spec: string, steps: readonly FleetStep[]): object {
  return {
    spec,
    steps: steps.map(({ tasks, accelerators, estimateMs, gang, checkpointing, after }) => ({
      count: tasks,
      cpu: MILLI_CORES,
      mem_mb: MEMORY_MB,
      gpu: accelerators,
      estimate_ms: estimateMs,
      ...(gang ? { gang } : {}),
      ...(checkpointing ? { checkpointing } : {}),
      ...(after.length > 0 ? { after } : {}),
    })),
  };
}

/** Bounds of a fleet, as the platform's deployments have them. Times in ms. */
export const FLEET_BOUNDS = {
  revokeMs: 5000,
  leaseMs: 6000,
  graceMs: 6000,
  statusMs: 120_000,
  reclaimMs: 2700,
  stopMs: 200,
  cancelMs: 3000,
  evacuateMs: 5000,
} as const;

/** One process's place and addresses. */
export interface FleetPlace {
  name: string;
  role: 'entry' | 'guard';
  ip: string;
  failureDomain: string;
  /** Where the process reaches the store. */
  store: string;
  /** What it listens on: callers and readiness of an entry, heartbeats of a guard. */
  listen: { front: string; ready: string; control: string };
  internalPorts: { first: number; last: number };
  limits: FleetLimits;
}

/** What a process's machine gives it. */
export interface FleetLimits {
  memoryMb: number;
  maxDescriptors: number;
}

/** The usual machine. */
export const FLEET_LIMITS: FleetLimits = { memoryMb: 350, maxDescriptors: 4100 };

/** A process's settings file. */
export function encodeFleetSettings({
  name,
  role,
  ip,
  failureDomain,
  store,
  listen: { front, ready, control },
  internalPorts: { first, last },
  limits: { memoryMb, maxDescriptors },
}: FleetPlace): object {
  const isEntry = role === 'entry';
  return {
    node: name,
    machine_class: isEntry ? 'edge' : 'side',
    serves: [isEntry ? 'edge' : 'side'],
    ip,
    zone: failureDomain,
    listen_addrs: isEntry ? { front, ready } : { control },
    internal_ports: [first, last],
    limits: { memory_mb: memoryMb, max_fds: maxDescriptors },
    bounds: {
      revoke_ms: FLEET_BOUNDS.revokeMs,
      hold_max_ms: FLEET_BOUNDS.leaseMs,
      grace_s: FLEET_BOUNDS.graceMs / 1000,
      status_s: FLEET_BOUNDS.statusMs / 1000,
      reclaim_ms: FLEET_BOUNDS.reclaimMs,
      stop_timeout_ms: FLEET_BOUNDS.stopMs,
      cancel_ms: FLEET_BOUNDS.cancelMs,
    },
    platform: { address: store },
  };
}
