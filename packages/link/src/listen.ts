/** Listening on an address of the settings, with an error that says which and what to do. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ProblemError, problem } from '@zincspan/core';
import { parseAddress } from './address.js';

const LISTEN_ERROR_REASONS: Record<string, string> = {
  EADDRINUSE: 'another process listens there',
  EADDRNOTAVAIL: 'this VM has no such IP number',
  EACCES: 'this process may not use that port',
};

/** Starts to listen on `IP:port`; answers the address with the port in use. Throws ProblemError `bad-input`. */
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

/** Why an address of the settings can't be listened on. */
export function listenProblem(address: string, err: NodeJS.ErrnoException): ProblemError {
  const reason = LISTEN_ERROR_REASONS[err.code ?? ''] ?? err.message;
  return new ProblemError(
    problem('bad-input', {
      detail: `${address} can't be listened on: ${reason}.`,
      remedy: 'Correct the address in the settings, or end the process that holds it.',
    }),
  );
}
