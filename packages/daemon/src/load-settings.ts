/** Reads and checks a settings file. */
import { readFile } from 'node:fs/promises';
import { ProblemError, parseJsonc, problem, settingsSchema, type Settings } from '@zincspan/core';

/** Settings from a JSON-with-comments file. Throws ProblemError `bad-input` naming path, expectation and remedy. */
export async function loadSettings(file: string): Promise<Settings> {
  return parseJsonc(await readSettingsFile(file), settingsSchema);
}

async function readSettingsFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    const detail = `The settings file "${file}" can't be read: ${(err as Error).message}.`;
    throw new ProblemError(
      problem('bad-input', { detail, remedy: 'Name a readable file with --settings.' }),
    );
  }
}
