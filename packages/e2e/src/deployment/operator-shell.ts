/** An operator's shell: the `zincspan` client with its settings and key. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { OperatorKey } from '@zincspan/core';
import { mainOf } from './main-of.js';
import { VmProcess } from './vm-process.js';

const CLIENT = mainOf('@zincspan/cli', 'bin/main.js');

/** How one run of the client ended. */
export interface ClientRun {
  code: number | null;
  lines: string[];
}

/** One operator at a shell. */
export class OperatorShell {
  readonly name: string;

  readonly #config: string;

  constructor({ name, config }: { name: string; config: string }) {
    this.name = name;
    this.#config = config;
  }

  /** Runs `zincspan` with these arguments. */
  run(...args: string[]): Promise<ClientRun> {
    const all = [...args, '--config', this.#config];
    return new VmProcess({
      name: `zincspan ${args.join(' ')}`,
      main: CLIENT,
      args: all,
    }).complete();
  }

  /** Runs `zincspan`; throws with its output unless it exits 0. */
  async must(...args: string[]): Promise<string[]> {
    const { code, lines } = await this.run(...args);
    if (code !== 0) {
      throw new Error(`zincspan ${args.join(' ')} exited ${code}:\n${lines.join('\n')}`);
    }
    return lines;
  }
}

/** Writes each operator's key and client settings. */
export function createOperators({
  directory,
  entries,
  keys,
}: {
  directory: string;
  entries: string[];
  keys: OperatorKey[];
}): OperatorShell[] {
  return keys.map((key) => {
    const keyFile = join(directory, `${key.operator}.key.json`);
    const config = join(directory, `${key.operator}.client.jsonc`);
    writeFileSync(keyFile, JSON.stringify(key), { mode: 0o600 });
    writeFileSync(config, JSON.stringify({ entries, operator: key.operator, keyFile }));
    return new OperatorShell({ name: key.operator, config });
  });
}
