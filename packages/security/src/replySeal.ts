/**
 * Seals (signatures) of replies. A foreign process that takes over the address of a stopped entry receives the
 * polls of its followers and could reply with forged documents. A reply without a seal of its exact text, signed
 * with one of the shared keys, is therefore discarded. A replayed old reply is harmless, because generations
 * never decrease.
 */
import { createHash } from 'node:crypto';
import { errors, jwtVerify, SignJWT } from 'jose';
import type { InnerKey } from './innerKeys';
import { createSecretLookup, secretOf } from './sharedSecrets';
import { clockToleranceMs, tokenAlgorithm, tokenLifetimeMs } from './tokenFormat';

export interface ReplySeals {
  seal(text: string): Promise<string>;
  isSealed(text: string, seal: string | undefined): Promise<boolean>;
}

/** Differs from the audiences that give access to a path, so that a seal cannot be used as a token. */
const sealAudience = 'reply';

export function createReplySeals(
  keys: readonly [InnerKey, ...InnerKey[]],
  issuer: string,
): ReplySeals {
  const secret = secretOf(keys[0]);
  const secretFor = createSecretLookup(keys);
  return {
    seal: (text) =>
      new SignJWT({ digest: digestOf(text) })
        .setProtectedHeader({ alg: tokenAlgorithm, kid: keys[0].id })
        .setIssuer(issuer)
        .setAudience(sealAudience)
        .setExpirationTime(new Date(Date.now() + tokenLifetimeMs))
        .sign(secret),
    async isSealed(text, seal = '') {
      try {
        const { payload } = await jwtVerify(seal, secretFor, {
          algorithms: [tokenAlgorithm],
          audience: sealAudience,
          requiredClaims: ['iss', 'exp'],
          clockTolerance: clockToleranceMs / 1000,
          currentDate: new Date(),
        });
        return payload.digest === digestOf(text);
      } catch (error) {
        if (error instanceof errors.JOSEError) {
          return false;
        }
        throw error;
      }
    },
  };
}

function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}
