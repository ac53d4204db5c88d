/** A command of `zincspan`, as its modules describe it to the command line. */
import type { DependencyContainer } from 'tsyringe';
import { UsageError } from '../usage-error.js';

/** Options as given. */
export type Flags = Record<string, unknown>;

/** One command. The name is one word or two, then its arguments: `bundle check <file>`. */
export interface Command {
  name: string;
  description: string;
  options?: readonly (readonly [flag: string, description: string])[];
  examples?: readonly string[];
  run(container: DependencyContainer, args: string[], flags: Flags): Promise<void> | void;
}

/** An option's text, if it was given. */
export function textFlag(flags: Flags, name: string): string | undefined {
  const value = flags[name];
  if (value === undefined) return undefined;
  if (typeof value === 'string') return value;
  throw new UsageError(`--${name} needs a value, once.`, 'See "zincspan --help".');
}

/** An option's whole number, if it was given. */
export function countFlag(flags: Flags, name: string): number | undefined {
  const value = flags[name];
  if (value === undefined) return undefined;
  if (typeof value === 'string' && /^[1-9]\d{0,8}$/.test(value)) return Number(value);
  throw new UsageError(`--${name} needs a whole number above 0.`, 'See "zincspan --help".');
}
