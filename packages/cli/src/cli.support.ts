/** Entries over one in-memory platform, and operators with key files in a directory of their own. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { entrySettingsSchema, quietContext } from '@zincspan/core';
import { Entry, EntryBundles, operatorApp } from '@zincspan/entry';
import { MemoryObjectStore, MemoryTable, RowStore } from '@zincspan/platform';
import { runCli } from './run.js';

interface OperatorEntry {
  name: string;
  publicKey: string;
}

const UNUSED_ADDRESS = '127.0.0.1:1';

/** Two operators, bat and anu, and the entries that they call. */
export class OperatorDesk {
  readonly dir = mkdtempSync(join(tmpdir(), 'zincspan-'));

  readonly #entries: Entry[] = [];

  readonly #table = new MemoryTable({ store: new RowStore() });

  readonly #objectStore = new MemoryObjectStore();

  readonly #operators: OperatorEntry[] = [];

  /** Query of the last call that an entry got. */
  lastQuery = new URLSearchParams();

  out = '';

  err = '';

  /** Makes the operators' keys with the client itself. */
  async makeKeys(): Promise<void> {
    for (const name of ['bat', 'anu']) {
      await this.run(`keys new ${name} --out ${this.file(`${name}.key.json`)} --json`);
      this.#operators.push((JSON.parse(this.out) as { entry: OperatorEntry }).entry);
    }
  }

  /** Starts entries and writes client settings that name them, after `dead` addresses without one. */
  async start({ entries, dead = 0 }: { entries: number; dead?: number }): Promise<void> {
    for (let i = 1; i <= entries; i += 1) await this.#startEntry(`entry-${i}`);
    const live = this.#entries.map(({ server }) => `127.0.0.1:${server.info.port}`);
    const addresses = [...Array<string>(dead).fill(UNUSED_ADDRESS), ...live];
    this.writeConfig({ entries: addresses, operator: 'bat', keyFile: 'bat.key.json' });
  }

  /** Writes client settings, whatever they are. */
  writeConfig(config: object): void {
    this.write('zincspan-client.jsonc', `// Made for a test\n${JSON.stringify(config)}`);
  }

  write(name: string, text: string): void {
    writeFileSync(this.file(name), text);
  }

  read(name: string): string {
    return readFileSync(this.file(name), 'utf8');
  }

  file(name: string): string {
    return join(this.dir, name);
  }

  /** Runs a command line; words that start with `@` are files of this desk. Answers the exit code. */
  async run(line: string): Promise<number> {
    const words = line
      .split(' ')
      .map((word) => (word.startsWith('@') ? this.file(word.slice(1)) : word));
    this.out = '';
    this.err = '';
    const io = {
      out: (text: string) => {
        this.out += `${text}\n`;
      },
      err: (text: string) => {
        this.err += `${text}\n`;
      },
    };
    return runCli([...words, '--config', this.file('zincspan-client.jsonc')], { io });
  }

  /** Takes the table down or up again. */
  tableDown(down: boolean): void {
    this.#table.faults.down = down;
  }

  async stop(): Promise<void> {
    await Promise.all(this.#entries.map((entry) => entry.stop()));
    rmSync(this.dir, { recursive: true });
  }

  async #startEntry(id: string): Promise<void> {
    const settings = entrySettingsSchema.parse({
      role: 'entry',
      id,
      failureDomain: 'ernakulam',
      linkKeys: ['k'.repeat(32)],
      operators: this.#operators,
      listenHttp: '127.0.0.1:0',
      listenLink: '127.0.0.1:0',
      failureDomains: ['ernakulam'],
      table: { address: UNUSED_ADDRESS },
      objectStore: { address: UNUSED_ADDRESS },
    });
    const ctx = quietContext({ id });
    const bundles = new EntryBundles({ ctx, settings });
    const entry = new Entry({
      ctx,
      settings,
      table: this.#table,
      objectStore: this.#objectStore,
      bundles: bundles.keeper,
      apps: [bundles.app, operatorApp(bundles)],
    });
    entry.server.ext('onRequest', (req, h) => {
      this.lastQuery = req.url.searchParams;
      return h.continue;
    });
    await entry.start();
    this.#entries.push(entry);
  }
}
