/** Source of the operator's evacuations in tests, and an empty set of evacuations. */
import { Evacuations, type EvacuationSource } from '../evacuation/evacuations.js';

/** In the same table as the operator's configuration. */
export const TEST_EVACUATION_SOURCE: EvacuationSource = {
  table: 'operator',
  part: '',
  keyPrefix: 'evacuation/',
};

/** No evacuations, in a state that never becomes stale. */
export function noEvacuations(): Evacuations {
  const evacuations = new Evacuations({
    source: TEST_EVACUATION_SOURCE,
    staleAfterMs: Infinity,
  });
  evacuations.applyRead([], 0);
  return evacuations;
}
