/** Exit codes of `bluebellctl`, so that scripts can tell why a verb failed. */
import type { PlatformError } from '@bluebellhitch/objects';
import { assertNever } from '@bluebellhitch/shared';

export const ctlExitCodes = {
  ok: 0,
  /** The verb could not do its work, such as an unknown service. */
  failure: 1,
  invalidArguments: 2,
  /** A document has findings. */
  findings: 3,
  /** Somebody else changed the document in between. */
  lostRace: 4,
  platformUnavailable: 5,
} as const;
export type CtlExitCode = (typeof ctlExitCodes)[keyof typeof ctlExitCodes];

export function exitCodeOf(error: PlatformError): CtlExitCode {
  switch (error.kind) {
    case 'conflict':
      return ctlExitCodes.lostRace;
    case 'not-found':
    case 'rejected':
      return ctlExitCodes.failure;
    case 'rate-limited':
    case 'unavailable':
    case 'unknown-outcome':
      return ctlExitCodes.platformUnavailable;
    default:
      return assertNever(error);
  }
}

/** One sentence for operators. */
export function describePlatformError(error: PlatformError): string {
  switch (error.kind) {
    case 'conflict':
      return 'the object was changed in between';
    case 'not-found':
      return 'not found on the platform';
    case 'rejected':
      return `the platform refused: ${error.detail}`;
    case 'rate-limited':
      return `the platform asks to wait ${error.retryAfterMs} ms`;
    case 'unavailable':
      return `the platform is unavailable, and nothing was changed: ${error.detail}`;
    case 'unknown-outcome':
      return `the platform's answer was lost, and the change may have been made: ${error.detail}`;
    default:
      return assertNever(error);
  }
}
