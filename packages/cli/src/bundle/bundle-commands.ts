/** Commands that change the bundle: check, diff, propose, sign, rollout. */
import { diffBundles, formatFinding, type BundleAndHead, type Finding } from '@zincspan/core';
import type { DependencyContainer } from 'tsyringe';
import type { EntryClient } from '../client/entry-client.js';
import { textFlag, type Command, type Flags } from '../command/command.js';
import { loadKey } from '../config/client-config.js';
import { CLIENT, CONFIG, OUTPUT } from '../container/container.js';
import { readUpstreams, workersOf } from '../report/report-calls.js';
import { UsageError } from '../usage-error.js';
import { proposeBundle, readVersion, rollOutProposal, signProposal } from './bundle-calls.js';
import { loadBundle, loadProposal, proposalFileName, saveProposal } from './bundle-file.js';
import { formatDiff } from './format-diff.js';

/** In the order in which a change goes through them. */
export const BUNDLE_CHANGE_COMMANDS: readonly Command[] = [
  {
    name: 'bundle check <file>',
    description: 'Check a bundle file: fields, references, names; all findings at once',
    options: [['--online', 'Also whether its guarantees fit on the workers announced at present']],
    run: check,
  },
  {
    name: 'bundle diff <file>',
    description: 'Show what a bundle file would change',
    options: [['--against <version>', 'A version of the history, or "current" (default)']],
    run: diff,
  },
  {
    name: 'bundle propose <file>',
    description: 'Have a bundle checked and stored; write the proposal that two operators sign',
    options: [
      ['--note <text>', 'Why; kept in the history and signed'],
      ['--out <file>', 'Where the proposal goes; default FILE.vN.proposal.json'],
    ],
    run: propose,
  },
  {
    name: 'bundle sign <proposal>',
    description: 'Review a proposal and add your signature to its file',
    options: [
      ['--key <file>', "Your key file; default the client settings' keyFile"],
      ['--offline', "Don't compare with the bundle in force"],
    ],
    run: sign,
  },
  {
    name: 'bundle rollout <proposal>',
    description: 'Put a proposal with two signatures in force everywhere; safe to repeat',
    run: rollOut,
  },
];

async function check(c: DependencyContainer, [file = '']: string[], flags: Flags): Promise<void> {
  const workers = flags.online
    ? workersOf((await readUpstreams(c.resolve(CLIENT))).upstreams)
    : undefined;
  const bundle = loadBundle(file, workers);
  const counts = {
    accounts: bundle.accounts.length,
    kinds: bundle.kinds.length,
    guarantees: bundle.guarantees.length,
    drained: bundle.drained.length,
  };
  const text = Object.entries(counts).map(([name, count]) => `${count} ${name}`);
  const fit = workers
    ? ` Its guarantees fit on ${workers.length} workers with any one lost.`
    : ' Whether its guarantees fit is checked with --online, and when it is proposed.';
  c.resolve(OUTPUT).result({ ok: true, ...counts }, () => `Sound: ${text.join(', ')}.${fit}`);
}

async function diff(c: DependencyContainer, [file = '']: string[], flags: Flags): Promise<void> {
  const after = loadBundle(file);
  const before = await versionOrNone(c.resolve(CLIENT), textFlag(flags, 'against'));
  const changes = diffBundles(before?.bundle, after);
  c.resolve(OUTPUT).result(changes, () => formatDiff(changes));
}

async function propose(c: DependencyContainer, [file = '']: string[], flags: Flags): Promise<void> {
  const answer = await proposeBundle(
    c.resolve(CLIENT),
    loadBundle(file),
    textFlag(flags, 'note') ?? '',
  );
  const { head, bundle, changes, warnings } = answer;
  const out = textFlag(flags, 'out') ?? proposalFileName(file, head.version);
  saveProposal(out, { head, bundle });
  c.resolve(OUTPUT).result({ file: out, head, changes, warnings }, () =>
    [
      formatDiff(changes),
      ...formatWarnings(warnings),
      `Version ${head.version} is proposed in ${out}. It changes nothing until two operators have signed it:`,
      `  zincspan bundle sign ${out} --key KEYFILE     (each of two operators)`,
      `  zincspan bundle rollout ${out}`,
    ].join('\n'),
  );
}

async function sign(c: DependencyContainer, [file = '']: string[], flags: Flags): Promise<void> {
  const keyFile = textFlag(flags, 'key');
  const key = keyFile === undefined ? c.resolve(CONFIG).key : loadKey(keyFile);
  const proposal = loadProposal(file);
  const output = c.resolve(OUTPUT);
  if (!flags.offline) await review(c, proposal, output.note.bind(output));
  const signed = signProposal(proposal, key);
  saveProposal(file, signed);
  const signers = signed.head.signatures.map(({ operator }) => operator);
  const next =
    signers.length < 2 ? 'Another operator must sign it too.' : `zincspan bundle rollout ${file}`;
  output.result(
    { file, version: signed.head.version, signers },
    () => `Version ${signed.head.version} is signed by ${signers.join(' and ')}.\n${next}`,
  );
}

/** Signers see what they sign: the changes against what is in force now. */
async function review(
  c: DependencyContainer,
  { head, bundle }: BundleAndHead,
  note: (text: string) => void,
): Promise<void> {
  const current = await versionOrNone(c.resolve(CLIENT));
  const inForce = current?.head.version ?? 0;
  if (head.parent !== inForce) {
    throw new UsageError(
      `The proposal is on top of version ${head.parent}, but ${inForce} is in force.`,
      'Propose the bundle again; this one could not be rolled out.',
    );
  }
  note(`Note of the author: ${head.note === '' ? '(none)' : head.note}`);
  note(formatDiff(diffBundles(current?.bundle, bundle)));
}

async function rollOut(c: DependencyContainer, [file = '']: string[]): Promise<void> {
  const { outcome, row } = await rollOutProposal(c.resolve(CLIENT), loadProposal(file));
  const how = outcome === 'already' ? `was rolled out before, by ${row.by}` : 'is rolled out';
  c.resolve(OUTPUT).result(
    { outcome, version: row.head.version, by: row.by, at: row.at },
    () =>
      `Version ${row.head.version} ${how}. "zincspan bundle status" shows where it is in force.`,
  );
}

/** The version in force or another; undefined if none was ever rolled out. */
async function versionOrNone(
  client: EntryClient,
  version = 'current',
): Promise<BundleAndHead | undefined> {
  try {
    return await readVersion(client, version);
  } catch (err) {
    const { problem } = err as { problem?: { kind: string } };
    if (version === 'current' && problem?.kind === 'not-found') return undefined;
    throw err;
  }
}

function formatWarnings(warnings: readonly Finding[]): string[] {
  return warnings.map((warning) => `Warning: ${formatFinding(warning)}`);
}
