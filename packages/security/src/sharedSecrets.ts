/** Finds the secret that a token names. */
import { createSecretKey, type KeyObject } from 'node:crypto';
import { errors, type JWTHeaderParameters } from 'jose';
import type { InnerKey } from './innerKeys';

/** For `jwtVerify`: fails as for a bad signature where no key has the id. */
export function createSecretLookup(keys: readonly InnerKey[]) {
  const secrets = new Map(keys.map((key) => [key.id, secretOf(key)]));
  return ({ kid }: JWTHeaderParameters): KeyObject => {
    const secret = secrets.get(kid ?? '');
    if (secret === undefined) {
      throw new errors.JWKSNoMatchingKey();
    }
    return secret;
  };
}

export function secretOf({ secret }: InnerKey): KeyObject {
  return createSecretKey(Buffer.from(secret, 'utf8'));
}
