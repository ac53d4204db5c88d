/** Medians of logarithms, where the value that is closer to 0 is the safer one. */

/** A value, and how much it counts. */
export interface Weighted {
  value: number;
  weight: number;
}

/** Weights that differ by less than this share are equal: sums of them are rounded. */
const TOLERANCE = 1e-6;

/** The value with half of the weight on either side; between two of them, the one that is closer to 0. 0 without values. */
export function weightedMedian(values: readonly Weighted[]): number {
  const sorted = [...values].sort((a, b) => a.value - b.value);
  const half = totalWeight(sorted) / 2;
  let below = 0;
  const index = sorted.findIndex(({ weight }) => {
    below += weight;
    return below >= half * (1 - TOLERANCE);
  });
  const low = sorted[index]?.value ?? 0;
  if (below > half * (1 + TOLERANCE)) return low;
  const high = sorted[index + 1]?.value ?? low;
  return Math.abs(high) < Math.abs(low) ? high : low;
}

export function totalWeight(values: readonly Weighted[]): number {
  return values.reduce((sum, { weight }) => sum + weight, 0);
}

/** The middle one; undefined without values. */
export function median(values: readonly number[]): number | undefined {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
