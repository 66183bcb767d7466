/**
 * Verifies tokens of other processes. A verified token is cached by its text until it expires, so that later
 * calls with it cost only a map lookup.
 */
import { errors, jwtVerify, type JWTPayload } from 'jose';
import type { InnerKey } from './innerKeys';
import { createSecretLookup } from './sharedSecrets';
import { bearerScheme, clockToleranceMs, tokenAlgorithm } from './tokenFormat';

export interface TokenVerifierOptions {
  /** A token carries the id of the key that signed it. */
  keys: readonly InnerKey[];
  /** Maximum number of cached tokens; the oldest one is evicted first. */
  maxCached?: number;
}

export interface TokenVerifier {
  /** Whether the header's value is a valid token for the audience. */
  accepts(bearer: string | undefined, audience: string): boolean | Promise<boolean>;
  cachedCount(): number;
}

interface CachedToken {
  audience: string;
  validUntilEpochMs: number;
}

/** Each process sends one token per audience in 30 s, and at most a few hundred processes poll an entry. */
const defaultMaxCached = 2048;

export function createTokenVerifier(options: TokenVerifierOptions): TokenVerifier {
  const { keys, maxCached = defaultMaxCached } = options;
  const secretFor = createSecretLookup(keys);
  /** By header value. Only valid tokens are cached, so that unauthenticated callers cannot fill the cache. */
  const cachedTokens = new Map<string, CachedToken>();

  async function verify(bearer: string, audience: string): Promise<boolean> {
    if (!bearer.startsWith(bearerScheme)) {
      return false;
    }
    try {
      const { payload } = await jwtVerify(bearer.slice(bearerScheme.length), secretFor, {
        algorithms: [tokenAlgorithm],
        audience,
        requiredClaims: ['iss', 'exp'],
        clockTolerance: clockToleranceMs / 1000,
        currentDate: new Date(),
      });
      addToCache(bearer, audience, payload);
      return true;
    } catch (error) {
      if (error instanceof errors.JOSEError) {
        return false;
      }
      throw error;
    }
  }

  function addToCache(bearer: string, audience: string, { exp = 0 }: JWTPayload): void {
    dropExpired();
    cachedTokens.set(bearer, { audience, validUntilEpochMs: exp * 1000 + clockToleranceMs });
    if (cachedTokens.size > maxCached) {
      cachedTokens.delete(cachedTokens.keys().next().value as string);
    }
  }

  /** Stops at the first valid token, because tokens expire approximately in order of arrival. */
  function dropExpired(): void {
    const nowEpochMs = Date.now();
    for (const [bearer, { validUntilEpochMs }] of cachedTokens) {
      if (nowEpochMs < validUntilEpochMs) {
        return;
      }
      cachedTokens.delete(bearer);
    }
  }

  return {
    accepts(bearer, audience) {
      if (bearer === undefined) {
        return false;
      }
      const cached = cachedTokens.get(bearer);
      return cached === undefined
        ? verify(bearer, audience)
        : cached.audience === audience && Date.now() < cached.validUntilEpochMs;
    },
    cachedCount: () => cachedTokens.size,
  };
}
