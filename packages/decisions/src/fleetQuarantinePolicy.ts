/** The quarantine of the routers on the users' platform, whose configuration has no document with a policy. */
import type { QuarantinePolicy } from './quarantineVerdicts';

/**
 * The first crash may have any cause, and so may the second of a request that was moved from a server that ended. The
 * quarantine is renewed by a single further crash within a day.
 */
export const fleetQuarantinePolicy: QuarantinePolicy = {
  strikes: 3,
  rounds: 2,
  durationMs: 3_600_000,
  memoryMs: 86_400_000,
  // Once a part is held back, nothing runs that could clear it. A widespread one may be in most prompts of a route.
  parts: {
    widespread: { strikes: 5, rounds: 5, firstTrialMs: 10_000, trialFactor: 3 },
    other: { strikes: 3, rounds: 2, firstTrialMs: 60_000, trialFactor: 10 },
  },
  release: [],
  block: [],
};
