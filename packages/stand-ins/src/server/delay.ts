/** Waiting, for the faults that make a stand-in slow. */

/** Resolves after `ms`, at once for 0. */
export async function delay(ms: number): Promise<void> {
  if (ms <= 0) return;
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
