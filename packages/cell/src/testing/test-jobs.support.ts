/** Queues, steps and jobs with default values for tests. */
import type { Queue } from '../config/cell-config.js';
import { submissionSchema, type Step, type Submission } from '../job/submission.js';
import { OwnedJob } from '../owner/owned-job.js';

export const TEST_HOST = 'proofs.example';
export const TEST_PATH_PREFIX = '/proofs/';
export const TEST_API_KEY = 'key-of-weddings';

export const TEST_QUEUE: Queue = {
  name: 'proofs',
  host: TEST_HOST,
  pathPrefix: TEST_PATH_PREFIX,
  service: 'render',
  priority: 1,
  maxAttempts: 2,
  stretch: 3,
  targetLatencyMs: 1000,
  isPublic: false,
  needsAdvice: false,
};

/** A step with default values: one task of one accelerator. */
export function testStep(change: Partial<Step> = {}): Step {
  return {
    tasks: 1,
    demand: { milliCores: 1000, memoryMb: 100, accelerators: 1 },
    estimateMs: 200,
    after: [],
    gang: false,
    checkpointing: false,
    rackSensitive: false,
    duplicates: false,
    lasting: false,
    fills: false,
    mayMiss: 0,
    ...change,
  };
}

/** A submission with default values. */
export function testSubmission(change: Partial<Submission>): Submission {
  return submissionSchema.parse({
    id: '0'.repeat(16),
    queue: 'proofs',
    terms: {
      service: 'render',
      priority: 0,
      maxAttempts: 2,
      stretch: 1,
      targetLatencyMs: 0,
      needsAdvice: false,
    },
    account: 'weddings',
    spec: '',
    steps: [testStep()],
    acceptedAtMs: 0,
    ...change,
  });
}

/** A job held by the owner that has no rows but its submission, unless changed. */
export function testOwnedJob(
  submission: Submission,
  change: Partial<ConstructorParameters<typeof OwnedJob>[0]> = {},
): OwnedJob {
  return new OwnedJob({
    id: submission.id,
    submission,
    submissionVersion: 1,
    progressVersion: 0,
    cancelled: false,
    ...change,
  });
}
