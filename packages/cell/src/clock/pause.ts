/** Waiting. */

/** Resolves after this long, in ms. */
export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
