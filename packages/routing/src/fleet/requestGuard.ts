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

  return {
    heldBackMs() {
      if (isEmpty()) {
        return undefined;
      }
      const verdicts = [fingerprint(), ...partFingerprints].map((one) => ({
        one,
        verdict: judge(one),
      }));
      const holds = verdicts.flatMap(({ one, verdict }) =>
        verdict.kind === 'quarantined' ? [{ one, verdict }] : [],
      );
      const isSuspected = verdicts.some(({ verdict }) => verdict.kind === 'struck');
      // A request that something else holds back must not take the place of a trial that could be sent.
      const isTrial = holds.every(
        ({ one, verdict }) =>
          verdict.isTrialDue === true && trials.mayTake(one, holder, isSuspected),
      );
      if (isTrial) {
        holds.forEach(({ one }) => trials.take(one, holder));
        return undefined;
      }
      return Math.max(...holds.map(({ verdict }) => verdict.retryAfterMs));
    },
  };
}
