/** Bundle files and proposal files. */
import { renameSync, writeFileSync } from 'node:fs';
import {
  FindingsError,
  bundleHeadSchema,
  bundleSchema,
  checkBundle,
  digestBundle,
  parseJsonc,
  type Bundle,
  type PlacedWorker,
} from '@zincspan/core';
import * as z from 'zod';
import { readText } from '../config/client-config.js';
import { UsageError } from '../usage-error.js';

/** A proposal on its way from author to signers: the head to sign, and the body it stands for. */
export const proposalFileSchema = z.strictObject({ head: bundleHeadSchema, bundle: bundleSchema });
export type ProposalFile = z.infer<typeof proposalFileSchema>;

/** A checked bundle from a JSON-with-comments file. Throws FindingsError with all that is wrong. */
export function loadBundle(file: string, workers?: readonly PlacedWorker[]): Bundle {
  const text = readText(file, 'Name a bundle file.');
  const bundle = parseJsonc(text, bundleSchema, { source: file });
  const findings = checkBundle(bundle, workers);
  if (findings.length > 0) throw new FindingsError(file, findings);
  return bundle;
}

/** A proposal whose body is the one that its head names. */
export function loadProposal(file: string): ProposalFile {
  const text = readText(file, 'Name a file that "zincspan bundle propose" wrote.');
  const proposal = parseJsonc(text, proposalFileSchema, { source: file });
  if (digestBundle(proposal.bundle) === proposal.head.digest) return proposal;
  throw new UsageError(
    `${file}: the bundle in it isn't the one that its head names; it was changed after it was proposed.`,
    'Propose the changed bundle with "zincspan bundle propose".',
  );
}

/** Writes a proposal whole or not at all. */
export function saveProposal(file: string, proposal: ProposalFile): void {
  const temporary = `${file}.tmp`;
  writeFileSync(temporary, `${JSON.stringify(proposal, null, 2)}\n`);
  renameSync(temporary, file);
}

/** Where a proposal of this bundle file goes unless told otherwise. */
export function proposalFileName(file: string, version: number): string {
  return `${file.replace(/\.jsonc?$/, '')}.v${version}.proposal.json`;
}
