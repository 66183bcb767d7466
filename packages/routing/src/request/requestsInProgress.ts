/** The requests that a router serves. When the router ends, their time is over, so that each gets its response before. */
import { createRequestState, type RequestStateOptions, type StartedRequest } from './requestState';

export interface RequestsInProgress {
  start(options: RequestStateOptions): Pick<StartedRequest, 'state' | 'end'>;
  /** The time of all requests is over, also of those that start later. */
  expireAll(): void;
}

export function createRequestsInProgress(): RequestsInProgress {
  const inProgress = new Set<StartedRequest>();
  let hasExpired = false;

  return {
    start(options) {
      const request = createRequestState(options);
      inProgress.add(request);
      if (hasExpired) {
        request.expire();
      }
      return {
        state: request.state,
        end() {
          inProgress.delete(request);
          request.end();
        },
      };
    },
    expireAll() {
      hasExpired = true;
      inProgress.forEach(({ expire }) => expire());
    },
  };
}
