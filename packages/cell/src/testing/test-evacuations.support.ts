/** Where the operator's evacuations stand in tests, and those of tests that have none. */
import { Evacuations, type EvacuationSource } from '../evacuation/evacuations.js';

/** Beside the operator's configuration. */
export const TEST_EVACUATION_SOURCE: EvacuationSource = {
  table: 'operator',
  part: '',
  keyPrefix: 'evacuation/',
};

/** Nothing is evacuated, and that is known for good. */
export function noEvacuations(): Evacuations {
  const evacuations = new Evacuations({
    source: TEST_EVACUATION_SOURCE,
    staleAfterMs: Infinity,
  });
  evacuations.applyRead([], 0);
  return evacuations;
}
