/**
 * The parts of undici that the platform's router uses. The index of the package also loads fetch, caches, proxies and
 * mocks, which takes 0.1 s of CPU time at each start.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import DecoratorHandler from 'undici/lib/handler/decorator-handler.js';

// As in the index of the package: calls such as `request` are methods of each dispatcher.
Object.assign(Dispatcher.prototype, api);

export { Agent, Client, DecoratorHandler, Pool, buildConnector };

/** `request` with a dispatcher that the caller provides; the router uses no other form. */
export function request(address, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(address);
  return dispatcher.request({ ...options, origin, path: `${pathname}${search}` });
}
