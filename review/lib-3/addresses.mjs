/** Loopback addresses of one trial: each pretended VM has an IP number of its own. */
import { createServer } from 'node:net';

const FIRST_BLOCK = 60;
const BLOCKS = 60;

/** The port that every VM of a trial uses for the store, callers, or its guard; the others follow from it. */
export const PORTS = {
  store: 8524,
  front: 8521,
  ready: 8523,
  control: 8526,
  app: 8529,
  internal: [7000, 7015],
};

/** Hands out the addresses of a trial, in a block of the loopback range that nobody listens in. */
export class Addresses {
  #prefix = '';

  #last = 1;

  /** Picks the block. */
  async open() {
    for (let attempt = 0; attempt < BLOCKS; attempt++) {
      const block = (process.pid + attempt) % (BLOCKS * 250);
      const prefix = `127.${FIRST_BLOCK + Math.floor(block / 250)}.${1 + (block % 250)}`;
      if (await isFree(`${prefix}.2`, PORTS.store)) {
        this.#prefix = prefix;
        return;
      }
    }
    throw new Error('no free block of loopback addresses');
  }

  /** The IP number of the next VM. */
  next() {
    this.#last += 1;
    return `${this.#prefix}.${this.#last}`;
  }
}

/** True if nobody listens there. */
async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
