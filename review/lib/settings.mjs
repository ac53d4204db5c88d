/** Settings files in the platform's format, with the bounds of a small deployment. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ROW_BYTES } from './store.mjs';

/** Ports on every VM. */
export const PORTS = { front: 8521, store: 8524, ready: 8523, control: 8526, runner: 8529 };

const INTERNAL_PORTS = [7000, 7015];

/** The failure domains. */
export const FAILURE_DOMAINS = ['bayangol-hall', 'sukhbaatar-room'];

/** Bounds of the small deployments, named as on the platform. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  strict_revocation: true,
  revoke_ms: 5000,
  recovery_s: 12,
  hold_max_ms: 6000,
  stop_timeout_ms: 200,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  lease_ms: 3000,
  reclaim_ms: 2700,
};

/** Writes the settings file of one process and returns its path. */
export async function writeSettings({ folder, name, role, ip, failureDomain, store }) {
  const isEntry = role === 'entry';
  const listen = (names) => Object.fromEntries(names.map((each) => [each, `${ip}:${PORTS[each]}`]));
  const settings = {
    node: name,
    role,
    machine_class: isEntry ? 'edge' : 'side',
    serves: [isEntry ? 'edge' : 'side'],
    ip,
    zone: failureDomain,
    region: 'region-1',
    zones: Object.fromEntries(FAILURE_DOMAINS.map((each) => [each, 'region-1'])),
    listen_addrs: listen(isEntry ? ['front', 'ready'] : ['control']),
    internal_ports: INTERNAL_PORTS,
    bootstrap: true,
    limits: { cpu_share: isEntry ? 0.675 : 0.405, cores: 1, memory_mb: isEntry ? 350 : 218 },
    heartbeat_ms: 1500,
    bounds: BOUNDS,
    command_mode: 'call',
    platform: { address: store, form: 'table', row_bytes: ROW_BYTES, across: true, history_s: 20 },
  };
  const file = join(folder, `${name}.json`);
  await writeFile(file, JSON.stringify(settings));
  return file;
}
