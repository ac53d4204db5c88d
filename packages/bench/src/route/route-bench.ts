/** `bench:route`: every policy version against every scenario, on the same seeds, in one run. */
import { MALABAR, TUUL, type Deployment } from './deployment.js';
import { VERSIONS, type PolicyVersion } from './policy-version.js';
import { runScenario, type RunFigures } from './run-scenario.js';
import { SCENARIOS, type Scenario } from './scenario.js';

/** Choices of the command line. */
export interface RouteBenchOptions {
  seed?: number;
  /** Only scenarios whose name contains this. */
  scenario?: string;
}

/**
 * Runs and prints all. `add`: latency beyond what the request takes on a healthy runner, in ms; `usual99`: p99 of the
 * accounts but the second, which may burst. `back`: callers
 * taken of those that came back after retryAfterMs. By account: share answered within the contract.
 */
export function benchRoute({ seed = 1, scenario: filter = '' }: RouteBenchOptions = {}): void {
  [TUUL, MALABAR].forEach((deployment) => {
    SCENARIOS.filter(({ name }) => name.includes(filter)).forEach((scenario) => {
      printHeader(deployment, scenario);
      VERSIONS.forEach((version) => {
        printLine(version, deployment, runScenario({ deployment, scenario, version, seed }));
      });
    });
  });
}

function printHeader(
  { name, accounts, runners, slots, entries }: Deployment,
  scenario: Scenario,
): void {
  console.log(
    `\n${name}: ${runners} runners x ${slots} slots, ${entries} entries; ${scenario.name}`,
  );
  const columns = [
    'p50',
    'p99',
    'p99.9',
    'add50',
    'add99',
    'add99.9',
    'usual99',
    'refused',
    'back',
    'gone',
    'late',
    'util',
  ];
  const names = accounts.map((account) => account.name);
  console.log(line('version', [...columns, ...names]));
}

function printLine({ name }: PolicyVersion, { accounts }: Deployment, figures: RunFigures): void {
  const { tally, utilisation } = figures;
  const asked = tally.answered + tally.refusedForGood + tally.late;
  console.log(
    line(name, [
      ...[0.5, 0.99, 0.999].map((q) => tally.quantile(q).toFixed(0)),
      ...[0.5, 0.99, 0.999].map((q) => tally.addedQuantile(q).toFixed(1)),
      tally.usualQuantile(0.99).toFixed(0),
      percent(tally.refusals / asked),
      tally.returns === 0 ? '-' : percent(tally.returnsTaken / tally.returns),
      percent(tally.refusedForGood / asked),
      percent(tally.late / asked),
      percent(utilisation),
      ...accounts.map((account) => percent(tally.inContract(account.name))),
    ]),
  );
}

function line(first: string, rest: string[]): string {
  return [first.padEnd(14), ...rest.map((text) => text.slice(0, 8).padStart(9))].join('');
}

function percent(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}
