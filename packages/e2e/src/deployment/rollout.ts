/** Puts a bundle in force the way operators do: check, propose, two signatures, rollout. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Bundle, bundleSchema } from '@zincspan/core';
import type { z } from 'zod';
import type { Deployment } from './deployment.js';

/** A bundle as an operator writes it, defaults left out. */
export type BundleText = z.input<typeof bundleSchema>;

let files = 0;

/** Rolls a bundle out with both operators' signatures. Throws with the client's output if refused. */
export async function rollOut(deployment: Deployment, bundle: BundleText | Bundle): Promise<void> {
  const [first, second] = deployment.operators;
  if (first === undefined || second === undefined) throw new Error('Two operators must sign.');
  files += 1;
  const file = join(deployment.directory, `bundle-${files}.jsonc`);
  const proposal = join(deployment.directory, `bundle-${files}.proposal.json`);
  writeFileSync(file, JSON.stringify(bundle, null, 2));
  await first.must('bundle', 'propose', file, '--out', proposal);
  await first.must('bundle', 'sign', proposal, '--offline');
  await second.must('bundle', 'sign', proposal, '--offline');
  await first.must('bundle', 'rollout', proposal);
}
