/**
 * A port for the platform or for operators, who ask one question at a time on a few connections. Whoever else finds it can
 * neither use up the process nor keep those callers out: each connection has one request in progress at a time, and a new
 * connection takes the place of the oldest one.
 */
import type { Server, ServerOptions } from 'node:http';
import { guardPort } from './portGuard';
import type { PortResources } from './portResources';

/** More than the platform and operators open at a time; few enough to leave the descriptors to others. */
const maxConnections = 32;

/** For the creation of such a server. Questions are short and arrive at once. */
export const smallPortOptions = {
  connectionsCheckingInterval: 1_000,
  headersTimeout: 3_000,
  requestTimeout: 5_000,
  keepAliveTimeout: 5_000,
} as const satisfies ServerOptions;

/** To be called once, before the server listens. */
export function guardSmallPort(server: Server, resources: PortResources): void {
  guardPort(server, { resources, maxConnections, maxRequestsPerConnection: 1 });
}
