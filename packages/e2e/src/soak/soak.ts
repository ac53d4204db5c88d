/**
 * Random faults over the platform's program as separate processes: `npm run soak -- --seed N --seeds K --seconds S`.
 * With `--crash-each N` each N-th job crashes the runners that start it; with `--evacuate` failure domains are evacuated meanwhile.
 * The seed gives jobs, faults, their targets and their times; how the processes interleave can't be repeated.
 */
import { parseArgs } from 'node:util';
import { keepEvidence } from './soak-evidence.js';
import { runSoak, type SoakResult } from './soak-run.js';

const SHOWN = 20;

async function main(): Promise<void> {
  // An exit on a signal ends the fleet's processes as well.
  ['SIGINT', 'SIGTERM'].forEach((signal) =>
    process.once(signal, () => {
      throw new Error(`ended by ${signal}`);
    }),
  );
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: String(Date.now() % 1_000_000) },
      seeds: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '20' },
      entries: { type: 'string', default: '3' },
      workers: { type: 'string', default: '5' },
      'crash-each': { type: 'string', default: '0' },
      evacuate: { type: 'boolean', default: false },
    },
  });
  const [seed, seeds, seconds, entries, workers] = [
    values.seed,
    values.seeds,
    values.seconds,
    values.entries,
    values.workers,
  ].map(Number);
  const numbers = [seed, seeds, seconds, entries, workers];
  if (!numbers.every((each) => each !== undefined && Number.isFinite(each) && each > 0)) {
    throw new Error('Usage: --seed N --seeds K --seconds S --entries E --workers W, all above 0');
  }
  const crashEach = Number(values['crash-each']);
  if (!Number.isInteger(crashEach) || crashEach < 0) {
    throw new Error('Usage: --crash-each N, a whole number, 0 for none');
  }
  let broken = 0;
  for (let each = seed!; each < seed! + seeds!; each++) {
    const result = await runSoak({
      seed: each,
      lengthMs: seconds! * 1000,
      entries: entries!,
      workers: workers!,
      crashEach,
      evacuates: values.evacuate,
    });
    await report(each, result);
    if (result.violations.length > 0) broken += 1;
  }
  say(`seeds ${seeds}, with violations ${broken}`);
  process.exitCode = broken === 0 ? 0 : 1;
}

async function report(seed: number, result: SoakResult): Promise<void> {
  const { violations, jobs, accepted, calls, faults, evacuations, skipped } = result;
  say(
    `seed ${seed}: jobs ${jobs}, accepted ${accepted}, calls ${calls}, faults ${faults.length}, ` +
      `evacuations ${evacuations}, ` +
      `left out ${skipped}, violations ${violations.length}`,
  );
  violations.slice(0, SHOWN).forEach((line) => say(`  ${line}`));
  if (violations.length > 0) say(`  logs: ${await keepEvidence(seed, result)}`);
}

function say(line: string): void {
  console.log(line);
}

await main();
