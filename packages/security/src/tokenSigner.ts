/** Signs the tokens of one process: one per audience, cached and renewed well before it expires. */
import { SignJWT } from 'jose';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { InnerKey } from './innerKeys';
import { secretOf } from './sharedSecrets';
import { bearerScheme, tokenAlgorithm, tokenLifetimeMs, tokenRenewalMs } from './tokenFormat';

export interface TokenSignerOptions {
  key: InnerKey;
  issuer: string;
  lifetimeMs?: number;
  renewalMs?: number;
}

export interface TokenSigner {
  /** Returns the value of the credentials header: `Bearer` and the token. */
  bearer(audience: string): Promise<string>;
}

interface CachedToken {
  bearer: Promise<string>;
  renewAtMs: number;
}

export function createTokenSigner(options: TokenSignerOptions): TokenSigner {
  const { key, issuer, lifetimeMs = tokenLifetimeMs, renewalMs = tokenRenewalMs } = options;
  const secret = secretOf(key);
  /** By audience, of which there are only a few. */
  const cachedTokens = new Map<string, CachedToken>();

  async function sign(audience: string): Promise<string> {
    const nowEpochMs = Date.now();
    const token = await new SignJWT()
      .setProtectedHeader({ alg: tokenAlgorithm, kid: key.id })
      .setIssuer(issuer)
      .setAudience(audience)
      .setIssuedAt(new Date(nowEpochMs))
      .setExpirationTime(new Date(nowEpochMs + lifetimeMs))
      .sign(secret);
    return `${bearerScheme}${token}`;
  }

  function bearer(audience: string): Promise<string> {
    const nowMs = monotonicNowMs();
    const cached = cachedTokens.get(audience);
    if (cached !== undefined && nowMs < cached.renewAtMs) {
      return cached.bearer;
    }
    const renewed = { bearer: sign(audience), renewAtMs: nowMs + renewalMs };
    cachedTokens.set(audience, renewed);
    return renewed.bearer;
  }

  return { bearer };
}
