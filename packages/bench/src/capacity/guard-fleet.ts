/** Many guards in a few host processes, grown step by step. */
import { ChildHost } from './child-host.js';
import type { GuardHostFigures, GuardHostOrder, SharedGuardSettings } from './guard-host.js';

/** Sums over all guards of the fleet. */
export interface FleetFigures {
  framesIn: number;
  framesOut: number;
  /** Both ways. */
  bytes: number;
  lowestVersion: number;
  lastTakenAt: number;
}

/** Guards spread evenly over the hosts. */
export class GuardFleet {
  readonly #hosts: ChildHost<GuardHostOrder, GuardHostFigures>[];

  #size = 0;

  constructor({ settings, hosts = 4 }: { settings: SharedGuardSettings; hosts?: number }) {
    this.#hosts = Array.from(
      { length: hosts },
      () => new ChildHost({ main: './guard-host.js', arg: settings }),
    );
  }

  /** Adds guards until there are `size`; resolves once all are linked and offer their workers. */
  async growTo(size: number): Promise<void> {
    const ids = Array.from({ length: size - this.#size }, (_, n) => String(this.#size + n));
    this.#size = size;
    const shares = this.#hosts.map((_, host) =>
      ids.filter((_id, n) => n % this.#hosts.length === host),
    );
    await Promise.all(
      this.#hosts.map((host, n) => host.ask({ type: 'add', ids: shares[n] ?? [] })),
    );
  }

  async figures(): Promise<FleetFigures> {
    const all = await Promise.all(this.#hosts.map((host) => host.ask({ type: 'figures' })));
    const traffic = all.flatMap((each) => each.traffic);
    const total = (read: (each: (typeof traffic)[number]) => number): number =>
      traffic.reduce((sum, each) => sum + read(each), 0);
    return {
      framesIn: total(({ framesIn }) => framesIn),
      framesOut: total(({ framesOut }) => framesOut),
      bytes: total(({ bytesIn, bytesOut }) => bytesIn + bytesOut),
      lowestVersion: Math.min(...all.map(({ lowestVersion }) => lowestVersion)),
      lastTakenAt: Math.max(...all.map((each) => each.lastTakenAt)),
    };
  }

  async stop(): Promise<void> {
    await Promise.all(this.#hosts.map((host) => host.stop()));
  }
}
