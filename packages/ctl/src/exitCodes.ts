/** Exit codes of `bluebellctl`; scripts can tell from them why a verb failed. */
import type { PlatformError } from '@bluebellhitch/objects';
import { assertNever } from '@bluebellhitch/shared';

export const ctlExitCodes = {
  ok: 0,
  /** The verb failed, for example because the service is unknown. */
  failure: 1,
  invalidArguments: 2,
  /** A document has findings. */
  findings: 3,
  /** Somebody else changed the document in the meantime. */
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

/** Error message for operators. */
export function describePlatformError(error: PlatformError): string {
  switch (error.kind) {
    case 'conflict':
      return 'the object was changed in the meantime';
    case 'not-found':
      return 'not found on the platform';
    case 'rejected':
      return `the platform refused: ${error.detail}`;
    case 'rate-limited':
      return `the platform limits the request rate; retry after ${error.retryAfterMs} ms`;
    case 'unavailable':
      return `the platform is unavailable, and nothing was changed: ${error.detail}`;
    case 'unknown-outcome':
      return `the response of the platform was lost, and the change may have been made: ${error.detail}`;
    default:
      return assertNever(error);
  }
}
