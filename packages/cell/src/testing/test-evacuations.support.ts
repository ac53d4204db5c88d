/** Evacuations of tests that have none. */
import { Evacuations } from '../evacuation/evacuations.js';

/** Nothing is evacuated, and that is known for good. */
export function noEvacuations(): Evacuations {
  const source = { table: 'operator', part: '', keyPrefix: 'evacuation/' };
  const evacuations = new Evacuations({ source, staleAfterMs: Infinity });
  evacuations.noteRead([], 0);
  return evacuations;
}
