/** Settings files and operator's configuration of a small deployment, with the bounds of the first site's sheet. */
import { PORTS } from './addresses.mjs';

const BOUNDS = {
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  revoke_ms: 5000,
  recovery_s: 12,
  hold_max_ms: 6000,
  stop_timeout_ms: 200,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  finish_s: 14,
  status_s: 120,
  checkpoint_interval_s: 0.5,
  lease_ms: 3000,
  pace_ms: 100,
  harm_ms: 4000,
  reclaim_ms: 2700,
};

const LIMITS = {
  entry: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000 },
  guard: { cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4096, link_mbps: 1000 },
};

/** Service of all runners of a trial. */
export const SERVICE = 'lensdesk';

/** Settings file of one process. */
export function processSettings({ name, role, ip, zone, store }) {
  const isEntry = role === 'entry';
  return {
    node: name,
    role,
    machine_class: isEntry ? 'edge' : 'side',
    serves: [isEntry ? 'edge' : 'side'],
    ip,
    zone,
    region: 'ulaanbaatar',
    listen_addrs: isEntry
      ? { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` }
      : { control: `${ip}:${PORTS.control}` },
    internal_ports: PORTS.internal,
    bootstrap: true,
    limits: LIMITS[role],
    data_dir: null,
    heartbeat_ms: 1500,
    contracts: ['base', 'drain', 'config', 'recover', 'sched', 'tenants', 'platform', 'sharing'],
    bounds: BOUNDS,
    command_mode: 'call',
    platform: { address: store, form: 'table', row_bytes: 65_536, across: true, history_s: 20 },
  };
}

/** Queues of one service, and accounts with one key each, `key-NAME`, and the accelerators that they are guaranteed. */
export function operatorConfig({ host, queues, accounts }) {
  return {
    version: 1,
    routes: queues.map(({ name, prefix, priority = 1 }) => ({
      name,
      host,
      path_prefix: prefix,
      service: SERVICE,
      priority,
      max_attempts: 4,
      stretch: 3,
      target_latency_ms: 1000,
    })),
    services: [{ name: SERVICE, admission_check: true }],
    tenants: accounts.map(({ name, guaranteed = 0 }) => ({
      name,
      api_keys: [`key-${name}`],
      guaranteed: { gpu: guaranteed },
    })),
  };
}
