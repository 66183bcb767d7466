/**
 * Verifies tokens of other processes. A token is verified once and then known by its text until it
 * expires, so that a call costs a look into a map.
 */
import { errors, jwtVerify, type JWTPayload } from 'jose';
import type { InnerKey } from './innerKeys';
import { createSecretLookup } from './sharedSecrets';
import { bearerScheme, clockToleranceMs, tokenAlgorithm } from './tokenFormat';

export interface TokenVerifierOptions {
  /** A token names the one that signed it. */
  keys: readonly InnerKey[];
  /** Verified tokens that are kept; the oldest goes first. */
  maxKept?: number;
}

export interface TokenVerifier {
  /** Whether the header's value is a valid token for the audience. */
  accepts(bearer: string | undefined, audience: string): boolean | Promise<boolean>;
  keptCount(): number;
}

interface KeptToken {
  audience: string;
  validUntilEpochMs: number;
}

/** Each process sends one token an audience in 30 s; an entry is polled by a few hundred at most. */
const defaultMaxKept = 2048;

export function createTokenVerifier(options: TokenVerifierOptions): TokenVerifier {
  const { keys, maxKept = defaultMaxKept } = options;
  const secretFor = createSecretLookup(keys);
  /** By the header's value. Only valid tokens get in, so that strangers cannot fill it. */
  const kept = new Map<string, KeptToken>();

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
      keep(bearer, audience, payload);
      return true;
    } catch (error) {
      if (error instanceof errors.JOSEError) {
        return false;
      }
      throw error;
    }
  }

  function keep(bearer: string, audience: string, { exp = 0 }: JWTPayload): void {
    dropExpired();
    kept.set(bearer, { audience, validUntilEpochMs: exp * 1000 + clockToleranceMs });
    if (kept.size > maxKept) {
      kept.delete(kept.keys().next().value as string);
    }
  }

  /** Tokens expire about in the order of their arrival. */
  function dropExpired(): void {
    const nowEpochMs = Date.now();
    for (const [bearer, { validUntilEpochMs }] of kept) {
      if (nowEpochMs < validUntilEpochMs) {
        return;
      }
      kept.delete(bearer);
    }
  }

  return {
    accepts(bearer, audience) {
      if (bearer === undefined) {
        return false;
      }
      const known = kept.get(bearer);
      return known === undefined
        ? verify(bearer, audience)
        : known.audience === audience && Date.now() < known.validUntilEpochMs;
    },
    keptCount: () => kept.size,
  };
}
