/** Decides for one request whether it may be sent to a server, given what its content has done to servers. */
import type { QuarantineVerdict } from '@bluebellhitch/decisions';
import type { PartTrials } from './partTrials';
import type { RequestIdentity } from './requestFingerprint';

export interface RequestGuard {
  /** Time until the request may be sent to a server again; undefined if it may be sent now. */
  heldBackMs(): number | undefined;
}

export interface RequestGuardOptions {
  /** Whether nothing is known of any crash; then no digest is computed. */
  isEmpty(): boolean;
  judge(fingerprint: string): QuarantineVerdict;
  trials: PartTrials;
}

export function createRequestGuard(
  { fingerprint, partFingerprints }: RequestIdentity,
  { isEmpty, judge, trials }: RequestGuardOptions,
): RequestGuard {
  /** The same for all checks of the request: it stays the trial of a part once it has become it. */
  const holder = {};

  function heldBackByMs(one: string): number {
    const verdict = judge(one);
    if (verdict.kind !== 'quarantined') {
      return 0;
    }
    const isTrial = verdict.isTrialDue === true && trials.take(one, holder);
    return isTrial ? 0 : verdict.retryAfterMs;
  }

  return {
    heldBackMs() {
      if (isEmpty()) {
        return undefined;
      }
      const heldBackMs = Math.max(...[fingerprint(), ...partFingerprints].map(heldBackByMs));
      return heldBackMs > 0 ? heldBackMs : undefined;
    },
  };
}
