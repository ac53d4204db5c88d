/** Waiting for something that others announce. */

/** Resolves once `isSo` holds, looked at whenever a waker is called, or after `limitMs`. */
export async function waitFor(
  wakers: Set<() => void>,
  isSo: () => boolean,
  limitMs: number,
): Promise<void> {
  let wake = (): void => undefined;
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, limitMs);
    wake = () => {
      if (!isSo()) return;
      clearTimeout(timer);
      resolve();
    };
    wakers.add(wake);
  });
  wakers.delete(wake);
}
