/** Addresses of pretended VMs: each has an IP number of its own in the loopback range. */

const LINK_PORT = 7400;
const HTTP_PORT = 7401;
const UPSTREAM_PORT = 7402;

let deployments = 0;

/** Hands out VM addresses that no other deployment on this host uses at the same time. */
export class LoopbackNetwork {
  readonly #prefix: string;

  #last = 1;

  constructor({ pid = process.pid }: { pid?: number } = {}) {
    deployments += 1;
    // 127.x.y.z: x and y from the process id, so that two runs side by side never meet.
    const block = (pid + deployments * 7919) % 60_000;
    this.#prefix = `127.${1 + Math.floor(block / 250)}.${1 + (block % 250)}`;
  }

  /** The next VM of this deployment. */
  nextVm(): LoopbackVm {
    this.#last += 1;
    const ip = `${this.#prefix}.${this.#last}`;
    return {
      ip,
      link: `${ip}:${LINK_PORT}`,
      http: `${ip}:${HTTP_PORT}`,
      upstream: `${ip}:${UPSTREAM_PORT}`,
    };
  }
}

/** Addresses of one VM's processes. */
export interface LoopbackVm {
  ip: string;
  link: string;
  http: string;
  upstream: string;
}
