/** Writes the settings files of a deployment's processes, as an operator would. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { OperatorKey } from '@zincspan/core';
import type { EntryVm, Layout, UpstreamVm } from './machines.js';

/** What all settings of a deployment share. */
export interface SettingsFilesOptions {
  directory: string;
  layout: Layout;
  linkKey: string;
  operators: OperatorKey[];
  /** Where processes send their figures. */
  metricsAddress: string;
  /** Address under which `from` reaches the link port of `to`; a lossy proxy's, for tests. */
  linkAddress?: (from: string, to: EntryVm) => string;
  /** Address under which an entry reaches the platform. */
  platformAddress?: string;
  /** Overrides, for tests that need shorter times. */
  entry?: Record<string, unknown>;
  guard?: Record<string, unknown>;
}

/** Settings files, by process name. */
export class SettingsFiles {
  readonly #options: SettingsFilesOptions;

  constructor(options: SettingsFilesOptions) {
    this.#options = options;
    mkdirSync(options.directory, { recursive: true });
  }

  /** Writes an entry's settings; returns the file's name. */
  writeEntry({ id, failureDomain, vm }: EntryVm): string {
    const { layout, platformAddress = layout.platform.upstream, entry = {} } = this.#options;
    return this.#write(id, {
      role: 'entry',
      ...this.#common(id, failureDomain),
      listenHttp: vm.http,
      listenLink: vm.link,
      failureDomains: layout.failureDomains,
      table: { address: platformAddress },
      objectStore: { address: platformAddress },
      ...entry,
    });
  }

  /** Writes the settings of the guard beside an upstream. */
  writeGuard({ id, failureDomain, vm }: UpstreamVm): string {
    const { guard = {} } = this.#options;
    const name = `guard-${id}`;
    return this.#write(name, {
      role: 'guard',
      ...this.#common(name, failureDomain),
      listenHttp: vm.http,
      ...guard,
    });
  }

  #common(id: string, failureDomain: string): Record<string, unknown> {
    const { layout, linkKey, operators, metricsAddress } = this.#options;
    const { linkAddress = (_: string, to: EntryVm) => to.vm.link } = this.#options;
    return {
      id,
      failureDomain,
      metrics: { address: metricsAddress },
      linkKeys: [linkKey],
      operators: operators.map(({ operator, publicKey }) => ({ name: operator, publicKey })),
      entries: layout.entries.map((entry) => ({
        id: entry.id,
        failureDomain: entry.failureDomain,
        address: linkAddress(id, entry),
      })),
    };
  }

  #write(name: string, settings: Record<string, unknown>): string {
    const file = join(this.#options.directory, `${name}.jsonc`);
    writeFileSync(file, `// Settings of ${name}.\n${JSON.stringify(settings, null, 2)}\n`);
    return file;
  }
}
