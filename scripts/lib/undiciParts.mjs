/**
 * What the platform's router uses of undici. The package's own index loads its fetch, caches, proxies and mocks as
 * well: 0.1 s of processor time at each start.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

// As the package's index does: calls such as `request` are methods of each dispatcher.
Object.assign(Dispatcher.prototype, api);

export { Agent, Client, buildConnector };

/** `request` with a dispatcher of the caller's, the only way in which the router uses it. */
export function request(address, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(address);
  return dispatcher.request({ ...options, origin, path: `${pathname}${search}` });
}
