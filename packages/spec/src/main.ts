/** Prints the whole check. Exits with 1 if an invariant breaks or a mutant escapes. */
import { models, mutants, type Report } from './check.js';

function tellSteps(steps: string[]): void {
  steps.forEach((step, i) => console.log(`    ${i + 1}. ${step}`));
}

function tellModel(name: string, { states, depth, ms, deepest, broken }: Report): boolean {
  console.log(`${name}: ${states} states, depth ${depth}, ${(ms / 1000).toFixed(1)} s`);
  console.log(broken ? `  BROKEN: ${broken.invariant}` : '  every invariant holds; deepest path:');
  tellSteps(broken ? broken.steps : deepest);
  return broken === undefined;
}

function tellMutant(name: string, { states, broken }: Report): boolean {
  const found = broken ? `${broken.steps.length} steps break "${broken.invariant}"` : 'NOT CAUGHT';
  console.log(`without ${name}: ${found} (${states} states)`);
  if (broken) tellSteps(broken.steps);
  return broken !== undefined;
}

function tellReplays(reports: Report[]): boolean {
  const all = reports.map(({ replayed }) => replayed);
  const sequences = all.reduce((sum, replayed) => sum + replayed.sequences, 0);
  const steps = all.reduce((sum, replayed) => sum + replayed.steps, 0);
  const differences = all.flatMap((replayed) => replayed.differences);
  console.log(
    `${sequences} sequences of ${steps} steps replayed on the real code, ${differences.length} differ`,
  );
  tellSteps(differences);
  return differences.length === 0;
}

const reports: Report[] = [];

function keep(found: Report): Report {
  reports.push(found);
  return found;
}

const large = process.argv.includes('--large');
const sound = models(large).map(({ name, run }) => tellModel(name, keep(run())));
const caught = mutants().map(({ name, rule, run }) =>
  tellMutant(`${name}/${rule.id}`, keep(run())),
);
console.log(`${sound.filter(Boolean).length} of ${sound.length} models hold`);
console.log(`${caught.filter(Boolean).length} of ${caught.length} mutants caught`);
const same = tellReplays(reports);
process.exitCode = [...sound, ...caught, same].every(Boolean) ? 0 : 1;
