/** What signers and verifiers of tokens agree on. */

export const bearerScheme = 'Bearer ';
export const tokenAlgorithm = 'HS256';
/** From signature to expiry. */
export const tokenLifetimeMs = 60_000;
/** Half of the lifetime: the other half is for calls on their way and for clocks that differ. */
export const tokenRenewalMs = 30_000;
/** How far a verifier's clock may be ahead, beside the half lifetime that each token has left. */
export const clockToleranceMs = 10_000;
