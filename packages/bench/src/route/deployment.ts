/** The two deployments of today, as far as requests to runners go. */
import { clientAccountSchema, type ClientAccount } from '@zincspan/core';

/** One deployment. Times in ms, one way. */
export interface Deployment {
  name: string;
  failureDomains: string[];
  entries: number;
  runners: number;
  slots: number;
  linkMs: number;
  clientMs: number;
  accounts: ClientAccount[];
}

const TOKEN = { id: 'bench', sha256: '0'.repeat(64) };

function account(name: string, share: number): ClientAccount {
  return clientAccountSchema.parse({ name, share, tokens: [TOKEN], quota: { requests: 200 } });
}

export const TUUL: Deployment = {
  name: 'tuul',
  failureDomains: ['bayangol-hall', 'sukhbaatar-room', 'khan-uul-depot', 'chingeltei-annex'],
  entries: 3,
  runners: 10,
  slots: 8,
  linkMs: 1,
  clientMs: 1,
  accounts: [
    account('film', 2),
    account('wedding', 1),
    account('documentary', 1),
    account('rental', 1),
  ],
};

export const MALABAR: Deployment = {
  name: 'malabar',
  failureDomains: ['ernakulam', 'kakkanad', 'aluva'],
  entries: 2,
  runners: 10,
  slots: 8,
  linkMs: 0.5,
  clientMs: 1,
  accounts: [account('north', 2), account('south', 1), account('coast', 1), account('hills', 1)],
};
