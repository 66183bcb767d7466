/**
 * How the system's own processes prove to each other who they are: short-lived signed tokens. Whoever
 * lacks a key can neither reserve memory nor give orders nor report strikes.
 */
import { createReplySeals } from './replySeal';
import { createTokenSigner } from './tokenSigner';
import { createTokenVerifier } from './tokenVerifier';
import type { InnerKey, InnerKeyChoice } from './innerKeys';

/** What a token is good for: one taken from a call to one port is of no use at another. */
export const innerAudiences = { entry: 'entry', agent: 'agent', feed: 'feed' } as const;
export type InnerAudience = (typeof innerAudiences)[keyof typeof innerAudiences];

export interface InnerSecurity {
  /** Value of the credentials' header; absent where calls carry none. */
  bearer(audience: InnerAudience): Promise<string | undefined>;
  /** Whether the value of a credentials' header allows calls of the audience. */
  accepts(bearer: string | undefined, audience: InnerAudience): boolean | Promise<boolean>;
  /** Proves that a reply's text is the fleet's own; absent where replies carry none. */
  seal(text: string): Promise<string | undefined>;
  isSealed(text: string, seal: string | undefined): Promise<boolean>;
}

/** What callers of other processes need. */
export type InnerCredentials = Pick<InnerSecurity, 'bearer' | 'isSealed'>;

export interface InnerSecurityOptions {
  /** The first signs, all verify. */
  keys: readonly [InnerKey, ...InnerKey[]];
  /** Issuer of the tokens. */
  instanceId: string;
}

/** Sends no credentials and accepts every call. */
export const insecureInner: InnerSecurity = {
  bearer: () => Promise.resolve(undefined),
  accepts: () => true,
  seal: () => Promise.resolve(undefined),
  isSealed: () => Promise.resolve(true),
};

export function createInnerSecurity({ keys, instanceId }: InnerSecurityOptions): InnerSecurity {
  const signer = createTokenSigner({ key: keys[0], issuer: instanceId });
  const verifier = createTokenVerifier({ keys });
  const seals = createReplySeals(keys, instanceId);
  return { bearer: signer.bearer, accepts: verifier.accepts, ...seals };
}

/** The security that the settings chose. */
export function innerSecurityOf(choice: InnerKeyChoice, instanceId: string): InnerSecurity {
  if (choice.kind === 'insecure') {
    return insecureInner;
  }
  const [first, ...others] = choice.keys;
  if (first === undefined) {
    throw new Error('no key to sign with');
  }
  return createInnerSecurity({ keys: [first, ...others], instanceId });
}

/** Request headers for trpc links. */
export function credentialHeaders(
  credentials: InnerCredentials | undefined,
  audience: InnerAudience,
): () => Promise<Record<string, string>> {
  return async (): Promise<Record<string, string>> => {
    const authorization = await credentials?.bearer(audience);
    return authorization === undefined ? {} : { authorization };
  };
}
