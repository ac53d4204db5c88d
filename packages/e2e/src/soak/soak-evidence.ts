/** What a failed seed leaves for tracing: how the processes interleaved can't be repeated. */
import { mkdir, writeFile } from 'node:fs/promises';
import type { SoakResult } from './soak-run.js';

const FOLDER = 'reports/soak';

/** Writes the faults as they were made, the last lines of each process and the store's changes; answers the folder. */
export async function keepEvidence(
  seed: number,
  { violations, faults, logs, rows }: SoakResult,
): Promise<string> {
  const folder = `${FOLDER}/seed-${seed}-${Date.now()}`;
  await mkdir(folder, { recursive: true });
  await writeFile(`${folder}/violations.txt`, `${violations.join('\n')}\n`);
  await writeFile(`${folder}/faults.json`, JSON.stringify(faults, undefined, 1));
  const changes = rows.map(({ value, ...row }) =>
    JSON.stringify({ ...row, value: value.toString('base64') }),
  );
  await writeFile(`${folder}/rows.ndjson`, `${changes.join('\n')}\n`);
  await Promise.all(
    [...logs].map(([name, lines]) => writeFile(`${folder}/${name}.log`, `${lines.join('\n')}\n`)),
  );
  return folder;
}
