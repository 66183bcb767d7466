/** The report on the outcome of a conditional edit of a service document. */
import type { CtlIo, Report } from '../ctlIo';
import type { EditOutcome } from '../editDocument';
import { ctlExitCodes, describePlatformError, exitCodeOf } from '../exitCodes';
import { renderFinding } from '../render';

export interface EditReportOptions {
  service: string;
  /** What the edit states, such as `agent-3 takes no new work`. */
  effect: string;
  outcome: EditOutcome;
}

export function editReport(io: CtlIo, { service, effect, outcome }: EditReportOptions): Report {
  const name = io.styles.bold(service);
  const data = { service, ...outcome };
  switch (outcome.kind) {
    case 'written':
      return {
        exitCode: ctlExitCodes.ok,
        data,
        lines: [`${name}: ${effect}, written as version ${outcome.version}`],
      };
    case 'unchanged':
      return {
        exitCode: ctlExitCodes.ok,
        data,
        lines: [`${name}: ${effect}, as version ${outcome.version} already states`],
      };
    case 'findings':
      return {
        exitCode: ctlExitCodes.findings,
        data,
        lines: [
          ...outcome.findings.map((finding) => renderFinding(service, finding)),
          `${name}: not written, because the document would be rejected`,
        ],
      };
    case 'lost-race':
      return {
        exitCode: ctlExitCodes.lostRace,
        data,
        lines: [
          `${name}: not written: others changed it during each of ${outcome.attempts} attempts`,
        ],
      };
    case 'failed':
      return {
        exitCode: exitCodeOf(outcome.error),
        data,
        lines: [`${name}: ${describePlatformError(outcome.error)}`],
      };
    default:
      return outcome satisfies never;
  }
}
