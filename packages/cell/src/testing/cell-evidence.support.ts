/** What a failed scenario about a cell leaves for tracing. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { TestCell } from './test-cell.support.js';

const FOLDER = 'reports/scenarios';

/** Writes the log lines and counters of all entries. */
export async function keepCellEvidence(cell: TestCell, scenario: string): Promise<void> {
  const folder = join(FOLDER, `${scenario.replace(/\W+/g, '-')}-${Date.now()}`);
  await mkdir(folder, { recursive: true });
  const lines = cell.logLines.map((line) => `${JSON.stringify(line)}\n`);
  await writeFile(join(folder, 'log.ndjson'), lines.join(''));
  const metrics = cell.entries.map(({ id, metrics: { counters, gauges } }) => ({
    id,
    counters: Object.fromEntries(counters),
    gauges: Object.fromEntries(gauges),
  }));
  await writeFile(join(folder, 'metrics.json'), JSON.stringify(metrics, undefined, 1));
}
