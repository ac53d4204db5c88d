/** Both sides of the handshake: challenge, proof, welcome. */
import type { ProcessId } from '@zincspan/core';
import { newNonce, computeMac, macsEqual } from './handshake-mac.js';
import { challengeSchema, proofSchema, welcomeSchema, type Proof } from './frame.js';
import { LinkCloseError } from './link-options.js';
import type { FrameSocket } from './frame-socket.js';

/** Identity of this process and its link keys, newest first. */
export interface LocalIdentity {
  self: ProcessId;
  bornAt: number;
  keys: string[];
}

/**
 * Authenticates a dialer. `check` may still refuse an authenticated one by throwing; `onAuthenticated` is called after
 * the welcome has been sent.
 */
export function runServerHandshake(
  socket: FrameSocket,
  { self, keys }: LocalIdentity,
  {
    check,
    onAuthenticated,
  }: { check: (proof: Proof) => void; onAuthenticated: (proof: Proof) => void },
): void {
  const serverNonce = newNonce();
  socket.setFrameHandler((frame) => {
    const proof = parseHandshakeFrame(proofSchema, frame);
    const { process, bornAt, nonce: dialerNonce } = proof;
    const macInput = { side: 'dialer', serverNonce, dialerNonce, process, bornAt } as const;
    const expectedMacs = keys.map((key) => ({ key, mac: computeMac({ ...macInput, key }) }));
    const match = proof.macs
      .map((mac, index) => ({
        index,
        key: expectedMacs.find((candidate) => macsEqual(candidate.mac, mac))?.key,
      }))
      .find(({ key }) => key !== undefined);
    if (match?.key === undefined) {
      throw new LinkCloseError(
        'not-authentic',
        'The dialer holds none of the link keys of this server.',
      );
    }
    const mac = computeMac({
      key: match.key,
      side: 'server',
      serverNonce,
      dialerNonce,
      process: self,
    });
    check(proof);
    socket.send({ t: 'link.welcome', process: self, key: match.index, mac });
    onAuthenticated(proof);
  });
  socket.send({ t: 'link.challenge', nonce: serverNonce });
}

/** Authenticates this end to a server, and the server in turn. `onWelcome` gets the server's identity. */
export function runDialerHandshake(
  socket: FrameSocket,
  { self, bornAt, keys }: LocalIdentity,
  onWelcome: (process: ProcessId) => void,
): void {
  const dialerNonce = newNonce();
  socket.setFrameHandler((frame) => {
    const { nonce: serverNonce } = parseHandshakeFrame(challengeSchema, frame);
    const macInput = { side: 'dialer', serverNonce, dialerNonce, process: self, bornAt } as const;
    const macs = keys.map((key) => computeMac({ ...macInput, key }));
    socket.setFrameHandler((next) => {
      const { process, key: index, mac } = parseHandshakeFrame(welcomeSchema, next);
      const key = keys[index] ?? '';
      const expected = computeMac({ key, side: 'server', serverNonce, dialerNonce, process });
      if (!key || !macsEqual(expected, mac)) {
        throw new LinkCloseError(
          'not-authentic',
          'The server holds none of the link keys of this dialer.',
        );
      }
      onWelcome(process);
    });
    socket.send({ t: 'link.proof', process: self, bornAt, nonce: dialerNonce, macs });
  });
}

function parseHandshakeFrame<T>(
  schema: { safeParse: (value: unknown) => { success: true; data: T } | { success: false } },
  frame: unknown,
): T {
  const parsed = schema.safeParse(frame);
  if (parsed.success) return parsed.data;
  throw new LinkCloseError('garbled', 'The handshake frame is malformed.');
}
