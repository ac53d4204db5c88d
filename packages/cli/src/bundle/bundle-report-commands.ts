/** Commands that read about the bundle: status, history, show. */
import type { DependencyContainer } from 'tsyringe';
import { countFlag, type Command, type Flags } from '../command/command.js';
import { CLIENT, OUTPUT } from '../container/container.js';
import { formatTable, formatTime } from '../output/table.js';
import { readBundleStatus, readHistory, readVersion, type BundleStatus } from './bundle-calls.js';

/** They change nothing. */
export const BUNDLE_REPORT_COMMANDS: readonly Command[] = [
  {
    name: 'bundle status',
    description: 'Show which version is in force in every process',
    run: status,
  },
  {
    name: 'bundle history',
    description: 'Show the versions rolled out: when, by whom, signed by whom, why',
    options: [['--limit <count>', 'How many, the newest first; default 20']],
    run: history,
  },
  {
    name: 'bundle show [version]',
    description: 'Print the body of a version (default: the one in force), to start an edit from',
    run: show,
  },
];

async function status(c: DependencyContainer): Promise<void> {
  const answer = await readBundleStatus(c.resolve(CLIENT));
  c.resolve(OUTPUT).result(answer, () => formatStatus(answer));
}

function formatStatus({ head, processes, unreachable }: BundleStatus): string {
  const latest = Math.max(head?.version ?? 0, ...processes.map(({ version }) => version));
  const rows = processes.map(({ process, role, failureDomain, version }) => [
    process,
    role,
    failureDomain,
    version < 0 ? '?' : version,
    stateOf(version, latest),
  ]);
  const lost = unreachable.map(({ process, why }) => [process, '-', '-', '?', `no answer: ${why}`]);
  const current = processes.filter(({ version }) => version === latest).length;
  return [
    formatTable(['PROCESS', 'ROLE', 'FAILURE DOMAIN', 'VERSION', 'STATE'], [...rows, ...lost]),
    `Version ${latest} is in force in ${current} of ${rows.length + lost.length} processes.`,
  ].join('\n');
}

function stateOf(version: number, latest: number): string {
  if (version < 0) return 'not told';
  if (version === 0) return 'no bundle yet';
  return version === latest ? 'in force' : 'behind';
}

async function history(c: DependencyContainer, _args: string[], flags: Flags): Promise<void> {
  const answer = await readHistory(c.resolve(CLIENT), countFlag(flags, 'limit'));
  c.resolve(OUTPUT).result(answer, () =>
    formatTable(
      ['VERSION', 'ROLLED OUT', 'BY', 'SIGNED BY', 'NOTE'],
      answer.versions.map(({ head, by, at }) => [
        head.version,
        formatTime(at),
        by,
        head.signatures.map(({ operator }) => operator).join(', '),
        head.note,
      ]),
    ),
  );
}

async function show(c: DependencyContainer, [version]: string[]): Promise<void> {
  const { head, bundle } = await readVersion(c.resolve(CLIENT), version);
  const text = `// Version ${head.version}\n${JSON.stringify(bundle, null, 2)}`;
  c.resolve(OUTPUT).result({ head, bundle }, () => text);
}
