/** Choice of accelerator numbers on one worker: the tightest run of adjacent free ones, if there is one. */

/** First number of the shortest free run of at least `count`; undefined if free ones are too scattered. */
function findRun(uses: Uint8Array, count: number): number | undefined {
  let best: number | undefined;
  let bestLength = Infinity;
  let start = 0;
  for (let i = 0; i <= uses.length; i += 1) {
    if (i < uses.length && uses[i] === 0) continue;
    const length = i - start;
    if (length >= count && length < bestLength) {
      best = start;
      bestLength = length;
    }
    start = i + 1;
  }
  return best;
}

/** Chooses `count` free accelerators; empty if too few are free. */
export function chooseAccelerators(uses: Uint8Array, count: number): number[] {
  if (count === 0) return [];
  const run = findRun(uses, count);
  const chosen =
    run === undefined
      ? [...uses.keys()].filter((i) => uses[i] === 0).slice(0, count)
      : Array.from({ length: count }, (_, i) => run + i);
  return chosen.length < count ? [] : chosen;
}
