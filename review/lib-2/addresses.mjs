/** Loopback addresses: each machine has an IP number of its own, with free ports. */
import { createServer } from 'node:net';
import { once } from 'node:events';

const MACHINES_PER_BLOCK = 250;

/** Hands out machines of one run. */
export class LoopbackMachines {
  #prefix;

  #last = 1;

  constructor(pid = process.pid) {
    const block = pid % (MACHINES_PER_BLOCK * MACHINES_PER_BLOCK);
    const second = 1 + Math.floor(block / MACHINES_PER_BLOCK);
    this.#prefix = `127.${second}.${1 + (block % MACHINES_PER_BLOCK)}`;
  }

  /** IP number of the next machine. */
  nextIp() {
    this.#last += 1;
    return `${this.#prefix}.${this.#last}`;
  }
}

/** A port that nothing listens on at this IP number. */
export async function freePort(ip) {
  const server = createServer();
  server.listen(0, ip);
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

/** `IP:port` with a free port. */
export async function freeAddress(ip) {
  return `${ip}:${await freePort(ip)}`;
}
