/** Commands that make secrets: operators' keys and accounts' tokens. */
import { createHash, randomBytes } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { nameSchema, newOperatorKey } from '@zincspan/core';
import type { DependencyContainer } from 'tsyringe';
import { textFlag, type Command, type Flags } from '../command/command.js';
import { OUTPUT } from '../container/container.js';
import { UsageError } from '../usage-error.js';

const TOKEN_BYTES = 32;
const OWNER_ONLY = 0o600;

/** They work without an entry. */
export const KEY_COMMANDS: readonly Command[] = [
  {
    name: 'keys new <operator>',
    description: "Make an operator's key pair; print its line for the daemons' settings",
    options: [['--out <file>', 'Where the secret key goes; default OPERATOR.key.json']],
    run: newKey,
  },
  {
    name: 'token new [id]',
    description: "Make a client account's bearer token; print its line for the bundle",
    run: newToken,
  },
];

/** A bearer token, and the entry by which a bundle knows it. */
export function makeToken(id: string): { token: string; entry: { id: string; sha256: string } } {
  const token = randomBytes(TOKEN_BYTES).toString('base64url');
  return { token, entry: { id, sha256: createHash('sha256').update(token).digest('hex') } };
}

async function newKey(c: DependencyContainer, [name = '']: string[], flags: Flags): Promise<void> {
  const operator = checkName(name);
  const key = await newOperatorKey(operator);
  const file = textFlag(flags, 'out') ?? `${operator}.key.json`;
  writeSecret(file, `${JSON.stringify(key, null, 2)}\n`);
  const entry = { name: operator, publicKey: key.publicKey };
  c.resolve(OUTPUT).result({ file, entry }, () =>
    [
      `The secret key is in ${file}; only you may read it, and nobody else needs it.`,
      'Add this to "operators" in the settings of every daemon:',
      `  ${JSON.stringify(entry)}`,
    ].join('\n'),
  );
}

function newToken(c: DependencyContainer, [id = 'main']: string[]): void {
  const made = makeToken(checkName(id));
  c.resolve(OUTPUT).result(made, () =>
    [
      'Give this token to the client account; it is shown only now:',
      `  ${made.token}`,
      'Add this to the account\'s "tokens" in the bundle:',
      `  ${JSON.stringify(made.entry)}`,
    ].join('\n'),
  );
}

function checkName(name: string): string {
  const parsed = nameSchema.safeParse(name);
  if (parsed.success) return parsed.data;
  throw new UsageError(`"${name}" is no name.`, parsed.error.issues[0]?.message ?? '');
}

/** Never overwrites: a lost key can't be made again. */
function writeSecret(file: string, text: string): void {
  try {
    writeFileSync(file, text, { mode: OWNER_ONLY, flag: 'wx' });
  } catch (err) {
    throw new UsageError(
      `${file} can't be written: ${(err as Error).message}.`,
      'Move what is there, or name another file with --out.',
    );
  }
}
