/**
 * Authentication between the system's own processes by short-lived signed tokens. A process without a key
 * can neither reserve memory nor send orders nor report strikes.
 */
import { createReplySeals } from './replySeal';
import { createTokenSigner } from './tokenSigner';
import { createTokenVerifier } from './tokenVerifier';
import type { InnerKey, InnerKeyChoice } from './innerKeys';

/** Audiences of tokens: a token captured from a call to one port is not accepted at another. */
export const innerAudiences = { entry: 'entry', agent: 'agent', feed: 'feed' } as const;
export type InnerAudience = (typeof innerAudiences)[keyof typeof innerAudiences];

export interface InnerSecurity {
  /** Value of the credentials header; absent if calls carry no credentials. */
  bearer(audience: InnerAudience): Promise<string | undefined>;
  /** Whether the value of a credentials header permits calls of the audience. */
  accepts(bearer: string | undefined, audience: InnerAudience): boolean | Promise<boolean>;
  /** Signature that proves that a process of this system wrote a reply; absent if replies are not signed. */
  seal(text: string): Promise<string | undefined>;
  isSealed(text: string, seal: string | undefined): Promise<boolean>;
}

/** The part that a process needs for calling other processes. */
export type InnerCredentials = Pick<InnerSecurity, 'bearer' | 'isSealed'>;

export interface InnerSecurityOptions {
  /** The first key signs; all keys verify. */
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

/** Creates the security that the settings select. */
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
