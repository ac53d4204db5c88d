/** Listens on an address from the settings; errors name the address and the remedy. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ProblemError, problem } from '@zincspan/core';
import { parseAddress } from './address.js';

const LISTEN_ERROR_REASONS: Record<string, string> = {
  EADDRINUSE: 'another process is listening on it',
  EADDRNOTAVAIL: 'this VM has no such IP address',
  EACCES: 'this process lacks permission for that port',
};

/** Listens on `IP:port`; returns the address with the bound port. Throws ProblemError `bad-input`. */
export async function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    const onError = (err: NodeJS.ErrnoException): void => reject(listenProblem(address, err));
    server.once('error', onError);
    server.listen(port, host, () => {
      server.off('error', onError);
      resolve();
    });
  });
  const { port: boundPort } = server.address() as AddressInfo;
  return `${host.includes(':') ? `[${host}]` : host}:${boundPort}`;
}

/** Explains why listening on an address from the settings failed. */
export function listenProblem(address: string, err: NodeJS.ErrnoException): ProblemError {
  const reason = LISTEN_ERROR_REASONS[err.code ?? ''] ?? err.message;
  return new ProblemError(
    problem('bad-input', {
      detail: `Can't listen on ${address}: ${reason}.`,
      remedy: 'Correct the address in the settings, or stop the process that uses it.',
    }),
  );
}
