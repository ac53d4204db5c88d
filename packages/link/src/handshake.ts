/** The handshake at either end: challenge, proof, welcome. */
import type { ProcessId } from '@zincspan/core';
import { newNonce, prove, sameProof } from './auth.js';
import { challengeSchema, proofSchema, welcomeSchema, type Proof } from './frame.js';
import { LinkFault } from './options.js';
import type { FrameSocket } from './socket.js';

/** Who this end is, and its keys, newest first. */
export interface Identity {
  self: ProcessId;
  bornAt: number;
  keys: string[];
}

/** Checks a dialer. `check` may refuse a proved one by throwing; `onUp` comes after the welcome. */
export function challenge(
  socket: FrameSocket,
  { self, keys }: Identity,
  { check, onUp }: { check: (proof: Proof) => void; onUp: (proof: Proof) => void },
): void {
  const serverNonce = newNonce();
  socket.receive((frame) => {
    const proof = read(proofSchema, frame);
    const { process, bornAt, nonce: dialerNonce } = proof;
    const input = { side: 'dialer', serverNonce, dialerNonce, process, bornAt } as const;
    const proofs = keys.map((key) => ({ key, mac: prove({ ...input, key }) }));
    const match = proof.macs
      .map((mac, index) => ({ index, key: proofs.find((own) => sameProof(own.mac, mac))?.key }))
      .find(({ key }) => key !== undefined);
    if (match?.key === undefined) {
      throw new LinkFault('not-authentic', 'The dialer has no key of ours.');
    }
    const mac = prove({ key: match.key, side: 'server', serverNonce, dialerNonce, process: self });
    check(proof);
    socket.send({ t: 'link.welcome', process: self, key: match.index, mac });
    onUp(proof);
  });
  socket.send({ t: 'link.challenge', nonce: serverNonce });
}

/** Proves this end to a server and checks the server. `onWelcome` gets who it is. */
export function respond(
  socket: FrameSocket,
  { self, bornAt, keys }: Identity,
  onWelcome: (process: ProcessId) => void,
): void {
  const dialerNonce = newNonce();
  socket.receive((frame) => {
    const { nonce: serverNonce } = read(challengeSchema, frame);
    const input = { side: 'dialer', serverNonce, dialerNonce, process: self, bornAt } as const;
    const macs = keys.map((key) => prove({ ...input, key }));
    socket.receive((next) => {
      const { process, key: index, mac } = read(welcomeSchema, next);
      const key = keys[index] ?? '';
      const expected = prove({ key, side: 'server', serverNonce, dialerNonce, process });
      if (!key || !sameProof(expected, mac)) {
        throw new LinkFault('not-authentic', 'The server has no key of ours.');
      }
      onWelcome(process);
    });
    socket.send({ t: 'link.proof', process: self, bornAt, nonce: dialerNonce, macs });
  });
}

function read<T>(
  schema: { safeParse: (value: unknown) => { success: true; data: T } | { success: false } },
  frame: unknown,
): T {
  const parsed = schema.safeParse(frame);
  if (parsed.success) return parsed.data;
  throw new LinkFault('garbled', 'A frame of the handshake is not as agreed.');
}
