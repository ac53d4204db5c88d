/** `zincspan drain`: takes an upstream out of service by a change of the bundle. */
import type { DependencyContainer } from 'tsyringe';
import { proposeBundle, readVersion } from '../bundle/bundle-calls.js';
import { saveProposal } from '../bundle/bundle-file.js';
import { textFlag, type Command, type Flags } from '../command/command.js';
import { CLIENT, OUTPUT } from '../container/container.js';
import { UsageError } from '../usage-error.js';

/** Proposes; two operators sign, as for every change. */
export const DRAIN_COMMAND: Command = {
  name: 'drain <upstream>',
  description: 'Propose to take an upstream out of service (--off: back in); two must sign',
  options: [
    ['--off', 'Put it back in service'],
    ['--note <text>', 'Why; kept in the history'],
    ['--out <file>', 'Where the proposal goes; default drain-UPSTREAM.vN.proposal.json'],
  ],
  examples: ['  $ zincspan drain worker-7 --note "fan is failing"'],
  run: drain,
};

async function drain(c: DependencyContainer, [name = '']: string[], flags: Flags): Promise<void> {
  const client = c.resolve(CLIENT);
  const off = Boolean(flags.off);
  const { bundle } = await readVersion(client);
  if (bundle.drained.includes(name) !== off) {
    throw new UsageError(
      `"${name}" is ${off ? 'not drained' : 'drained already'}.`,
      'See "zincspan upstreams" for what is.',
    );
  }
  const others = bundle.drained.filter((upstream) => upstream !== name);
  const drained = off ? others : [...others, name];
  const note = textFlag(flags, 'note') ?? `${off ? 'undrain' : 'drain'} ${name}`;
  const { head, bundle: body } = await proposeBundle(client, { ...bundle, drained }, note);
  const file = textFlag(flags, 'out') ?? `drain-${name}.v${head.version}.proposal.json`;
  saveProposal(file, { head, bundle: body });
  c.resolve(OUTPUT).result({ file, version: head.version, upstream: name, drained: !off }, () =>
    explain({ name, off, file, version: head.version }),
  );
}

function explain(step: { name: string; off: boolean; file: string; version: number }): string {
  const what = step.off
    ? `put ${step.name} back in service`
    : `drain ${step.name}: it finishes what it has and gets nothing new`;
  return [
    `Version ${step.version} is proposed in ${step.file}; it would ${what}.`,
    'Nothing has happened yet: draining is a change of the bundle, as nothing is adjusted by hand on a VM.',
    'Two operators sign it, then one rolls it out:',
    `  zincspan bundle sign ${step.file} --key KEYFILE     (each of two operators)`,
    `  zincspan bundle rollout ${step.file}`,
  ].join('\n');
}
