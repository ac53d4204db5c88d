/** Handlers for the upstream as a whole. */
import type { Handlers } from '@zincspan/core';

/** Registers `guard.drain`. */
export function upstreamApp({ setDraining }: { setDraining: (on: boolean) => void }): Handlers {
  return {
    'guard.drain': ({ on }) => {
      setDraining(on);
      return {};
    },
  };
}
