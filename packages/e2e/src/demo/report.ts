/** What the demo prints. */
import type { StreamFigures } from '../load/request-stream.js';
import type { JobView } from './job-calls.js';

/** One line. */
export function say(line: string): void {
  console.log(line);
}

/** Counts and latencies at the end. */
export function printSummary({
  gang,
  proofs,
  figures,
}: {
  gang: JobView;
  proofs: number;
  figures: StreamFigures;
}): void {
  const { sent, answered, retried, refused, cut, p50Ms, p99Ms } = figures;
  say('');
  say('Summary');
  say(`  gang ${gang.id}: ${gang.state}, attempt ${gang.attempt}, ran in ${gang.failureDomain}`);
  say(`  frame proofs: ${proofs} succeeded`);
  say(
    `  lens matches: ${sent} sent, ${answered} answered, ${retried} of them after a retry, ${cut} cut`,
  );
  say(`  refused: ${JSON.stringify(refused)}`);
  say(`  latency of answered matches: p50 ${p50Ms.toFixed(1)} ms, p99 ${p99Ms.toFixed(1)} ms`);
}
