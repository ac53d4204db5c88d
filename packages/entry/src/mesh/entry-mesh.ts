/** Live links to the other entries. */
import type { Peer } from '@zincspan/core';

/** Knows the latest link to each other entry, whichever end dialled it. */
export class EntryMesh {
  readonly #peers = new Map<string, Peer>();

  readonly #listeners = new Set<(peer: Peer) => void>();

  /** Takes note of a new link; it replaces an older one to the same entry. */
  linkUp(peer: Peer): void {
    this.#peers.set(peer.process.id, peer);
    this.#listeners.forEach((fn) => fn(peer));
  }

  /** The live link to an entry, if there is one. */
  peer(id: string): Peer | undefined {
    const peer = this.#peers.get(id);
    return peer === undefined || peer.closed ? undefined : peer;
  }

  /** Live links to all other entries. */
  peers(): Peer[] {
    return [...this.#peers.values()].filter((peer) => !peer.closed);
  }

  /** Calls `fn` with each new link to an entry; the answer ends the subscription. */
  onPeer(fn: (peer: Peer) => void): () => void {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }
}
