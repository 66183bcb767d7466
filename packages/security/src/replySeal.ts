/**
 * Seals of replies. Whoever took over the address of an entry that is gone gets the polls of its followers
 * and could answer them with documents of its own; without a seal by one of the fleet's keys over the very
 * text, a reply is thrown away. An old reply sent again does no harm: generations never go down.
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

/** Not one of the audiences that open a path, so that a seal is no token. */
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
