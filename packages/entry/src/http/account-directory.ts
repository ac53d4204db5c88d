/** Client accounts by the tokens that prove them. */
import { createHash } from 'node:crypto';
import type { ClientAccount } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';

/** Finds client accounts of the bundle in force, by token and by name. */
export class AccountDirectory {
  readonly #bundles: BundleSource;

  #byDigest = new Map<string, ClientAccount>();

  #byName = new Map<string, ClientAccount>();

  constructor({ bundles }: { bundles: BundleSource }) {
    this.#bundles = bundles;
    bundles.subscribe(() => this.#rebuild());
    this.#rebuild();
  }

  /**
   * The account that a bearer token belongs to. Only the token's SHA-256 is compared, so the time that the look-up
   * takes tells nothing about a token.
   */
  byToken(token: string): ClientAccount | undefined {
    return this.#byDigest.get(createHash('sha256').update(token).digest('hex'));
  }

  /** False until a first bundle is in force: then no token tells anything yet. */
  get isKnown(): boolean {
    return this.#bundles.current !== undefined;
  }

  /** The account of this name. */
  byName(name: string): ClientAccount | undefined {
    return this.#byName.get(name);
  }

  #rebuild(): void {
    const accounts = this.#bundles.current?.bundle.accounts ?? [];
    this.#byName = new Map(accounts.map((account) => [account.name, account]));
    this.#byDigest = new Map(
      accounts.flatMap((account) =>
        account.tokens.map(({ sha256 }): [string, ClientAccount] => [sha256, account]),
      ),
    );
  }
}
