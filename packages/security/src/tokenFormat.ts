/** Token parameters shared by signers and verifiers. */

export const bearerScheme = 'Bearer ';
export const tokenAlgorithm = 'HS256';
/** Time from signing to expiry. */
export const tokenLifetimeMs = 60_000;
/** Half of the lifetime; the other half covers calls in transit and differing clocks. */
export const tokenRenewalMs = 30_000;
/** How far a verifier's clock may be ahead, in addition to the half lifetime that each token has left. */
export const clockToleranceMs = 10_000;
