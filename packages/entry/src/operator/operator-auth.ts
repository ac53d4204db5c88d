/** Authentication of operators: a short-lived token for each call, signed with the operator's own key. */
import type { Request, Server } from '@hapi/hapi';
import { ProblemError, problem, type EntrySettings, type ProcessContext } from '@zincspan/core';
import { importJWK, jwtVerify, type JWTPayload } from 'jose';
import * as z from 'zod';
import { bearerToken } from '../http/auth.js';
import { UsedTokens } from './used-tokens.js';

declare module '@hapi/hapi' {
  interface AuthCredentials {
    /** The operator that calls, on routes with `auth: 'operator'`. */
    operator?: string;
  }
}

/** Audience of operators' tokens. */
export const OPERATOR_AUDIENCE = 'zincspan-operator';

/** Longest life of an operator's token, in seconds. */
export const MAX_TOKEN_SECONDS = 60;

const CLOCK_TOLERANCE_SECONDS = 10;

/** `htm` and `htu` bind a token to one method and path, so that one seen on the way serves for nothing else. */
const claimsSchema = z.object({
  sub: z.string(),
  jti: z.string().min(8).max(100),
  iat: z.number(),
  exp: z.number(),
  htm: z.string(),
  htu: z.string(),
});
type Claims = z.infer<typeof claimsSchema>;

/** Adds the strategy `operator`. */
export function registerOperatorAuth(
  server: Server,
  { ctx, operators }: { ctx: ProcessContext; operators: EntrySettings['operators'] },
): void {
  const used = new UsedTokens();
  server.auth.scheme('operator-token', () => ({
    authenticate: async (req, h) => {
      try {
        const claims = await verifyToken(bearerToken(req), operators);
        checkBinding(claims, req);
        if (!used.use(claims.jti, claims.exp * 1000, ctx.clock.wall())) {
          throw refused('The token was used before.');
        }
        return h.authenticated({ credentials: { operator: claims.sub } });
      } catch (err) {
        ctx.metrics.count('operator.not-authenticated');
        throw err;
      }
    },
  }));
  server.auth.strategy('operator', 'operator-token');
}

/** The operator behind a request on a route with `auth: 'operator'`. */
export function callingOperator(req: Request): string {
  const { operator } = req.auth.credentials;
  if (operator === undefined) throw refused('No operator calls here.');
  return operator;
}

async function verifyToken(token: string, operators: EntrySettings['operators']): Promise<Claims> {
  const payload = await verifySignature(token, operators);
  const claims = claimsSchema.safeParse(payload);
  if (!claims.success) throw refused('The token lacks one of sub, jti, iat, exp, htm, htu.');
  if (claims.data.exp - claims.data.iat > MAX_TOKEN_SECONDS) {
    throw refused(`The token lives longer than ${MAX_TOKEN_SECONDS} s.`);
  }
  return claims.data;
}

async function verifySignature(
  token: string,
  operators: EntrySettings['operators'],
): Promise<JWTPayload> {
  try {
    const subject = subjectOf(token);
    const operator = operators.find(({ name }) => name === subject);
    if (!operator) throw refused(`The settings name no operator "${subject}".`);
    const jwk = { kty: 'OKP', crv: 'Ed25519', x: operator.publicKey };
    const { payload } = await jwtVerify(token, await importJWK(jwk, 'EdDSA'), {
      algorithms: ['EdDSA'],
      audience: OPERATOR_AUDIENCE,
      clockTolerance: CLOCK_TOLERANCE_SECONDS,
      maxTokenAge: MAX_TOKEN_SECONDS,
    });
    return payload;
  } catch (err) {
    if (err instanceof ProblemError) throw err;
    throw refused(`The token is refused: ${(err as Error).message}.`);
  }
}

/** Whose key the token claims to be signed with; nothing else of it counts before it is verified. */
function subjectOf(token: string): string {
  const [, payload = ''] = token.split('.');
  const { sub } = JSON.parse(Buffer.from(payload, 'base64url').toString()) as { sub?: unknown };
  return String(sub);
}

function checkBinding({ htm, htu }: Claims, req: Request): void {
  const path = `${req.url.pathname}${req.url.search}`;
  if (htm === req.method.toUpperCase() && htu === path) return;
  throw refused(`The token is for ${htm} ${htu}, not for this call.`);
}

function refused(detail: string): ProblemError {
  return new ProblemError(
    problem('not-authenticated', {
      detail,
      remedy:
        "Use the zincspan client with an operator's key that the entries' settings list, on a VM whose clock is right.",
    }),
  );
}
