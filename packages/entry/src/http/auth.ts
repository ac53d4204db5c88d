/** Authentication of callers (strategy `account`) and of upstreams without a guard (strategy `upstream`). */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Request, Server } from '@hapi/hapi';
import { ProblemError, problem, type ClientAccount } from '@zincspan/core';
import type { AccountDirectory } from './account-directory.js';

declare module '@hapi/hapi' {
  interface AuthCredentials {
    /** The client account that calls, on routes with `auth: 'account'`. */
    account?: ClientAccount;
  }
}

const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;
const RETRY_AFTER_MS = 1000;

/** Token by which an upstream without a guard announces itself to an entry: derived from a link key. */
export function upstreamToken(linkKey: string): string {
  return createHmac('sha256', linkKey).update('zincspan upstream announcement').digest('hex');
}

/** Adds the strategies. Routes choose one with `options.auth`; there is no default. */
export function registerAuth(
  server: Server,
  { accounts, linkKeys }: { accounts: AccountDirectory; linkKeys: readonly string[] },
): void {
  const upstreamTokens = linkKeys.map((key) => Buffer.from(upstreamToken(key)));
  server.auth.scheme('account-token', () => ({
    authenticate: (req, h) => {
      const token = bearerToken(req);
      if (!accounts.isKnown) throw noBundleYet();
      const account = accounts.byToken(token);
      if (account === undefined) throw notAuthenticated('The token belongs to no client account.');
      return h.authenticated({ credentials: { account } });
    },
  }));
  server.auth.scheme('upstream-token', () => ({
    authenticate: (req, h) => {
      const token = Buffer.from(bearerToken(req));
      if (!upstreamTokens.some((known) => isSame(known, token))) {
        throw notAuthenticated('The token was derived from none of the link keys.');
      }
      return h.authenticated({ credentials: {} });
    },
  }));
  server.auth.strategy('account', 'account-token');
  server.auth.strategy('upstream', 'upstream-token');
}

/** The account behind a request on a route with `auth: 'account'`. */
export function callingAccount(req: Request): ClientAccount {
  const { account } = req.auth.credentials;
  if (account === undefined) throw notAuthenticated('No client account calls here.');
  return account;
}

/** The bearer token of a request; throws ProblemError `not-authenticated` without one. */
export function bearerToken(req: Request): string {
  const token = BEARER.exec(req.raw.req.headers.authorization ?? '')?.[1];
  if (token === undefined) throw notAuthenticated('The request carries no bearer token.');
  return token;
}

function isSame(a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Just started, or before the first rollout: a caller with a good token must not take it for refused. */
function noBundleYet(): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: 'No configuration bundle is in force here yet, so no account is known.',
      remedy: 'Use another entry, or try again after the time given by Retry-After.',
      retryAfterMs: RETRY_AFTER_MS,
    }),
  );
}

function notAuthenticated(detail: string): ProblemError {
  return new ProblemError(
    problem('not-authenticated', {
      detail,
      remedy: 'Send "Authorization: Bearer <token>" with a token of the bundle in force.',
    }),
  );
}
