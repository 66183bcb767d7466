/** Lookup of the secret whose key id a token carries. */
import { createSecretKey, type KeyObject } from 'node:crypto';
import { errors, type JWTHeaderParameters } from 'jose';
import type { InnerKey } from './innerKeys';

/** Key lookup for `jwtVerify`. Throws a JOSE error for an unknown key id, as for an invalid signature. */
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
