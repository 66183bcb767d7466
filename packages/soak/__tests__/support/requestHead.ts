/** Heads of requests as ordinary callers send them. */
import { callersHost } from '../../src/configurationPlan';
import { patientMs } from './crowdedRouter';

export interface RequestHead {
  id: string;
  method?: string;
  target: string;
  headers?: readonly string[];
}

/** The head of a request with all headers that an ordinary caller sends. */
export function requestHead({ id, method = 'GET', target, headers = [] }: RequestHead): string {
  return [
    `${method} ${target} HTTP/1.1`,
    `Host: ${callersHost}`,
    `Bluebellhitch-Request-Id: ${id}`,
    `Bluebellhitch-Deadline-Ms: ${patientMs}`,
    ...headers,
    '\r\n',
  ].join('\r\n');
}
