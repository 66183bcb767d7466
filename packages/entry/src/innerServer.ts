/** Server of the inner protocol: feed for agents and other entries, strikes from other entries. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { fetchRequestHandler } from '@trpc/server/adapters/fetch';
import { Hono } from 'hono';
import { createEntryRouter, innerPaths, type EntryHandlers } from '@bluebellhitch/protocol';
import {
  createBodyReaderPool,
  createPortResources,
  guardInnerPort,
  readInnerCall,
  type PortResources,
} from '@bluebellhitch/ports';
import {
  createInnerGuard,
  createReplySealer,
  innerAudiences,
  type InnerAudience,
  type InnerSecurity,
} from '@bluebellhitch/security';

export interface InnerServerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  handlers: EntryHandlers;
  security: Pick<InnerSecurity, 'accepts' | 'seal'>;
  /** Shared with the other ports of the process. Default: of its own. */
  resources?: PortResources;
  /** Called for each call without valid credentials. */
  onUnauthenticated?: () => void;
}

export interface InnerServer {
  /** `http://ip:port`. */
  address: string;
  close(): Promise<void>;
}

const feedPath = `${innerPaths.trpc}/feed`;

/** Starts the server; rejects if the port is in use. */
export async function startInnerServer(options: InnerServerOptions): Promise<InnerServer> {
  const router = createEntryRouter(options.handlers);
  const { resources = createPortResources() } = options;
  const bodies = createBodyReaderPool(resources.memory);
  const app = new Hono<{ Bindings: HttpBindings }>();
  const { security, onUnauthenticated: onRefused } = options;
  app.use('*', createInnerGuard({ security, audienceOf, onRefused }));
  app.use(feedPath, createReplySealer(security));
  app.all(`${innerPaths.trpc}/*`, async ({ env }) => {
    const req = await readInnerCall(env, bodies);
    return req === undefined
      ? RESPONSE_ALREADY_SENT
      : fetchRequestHandler({ endpoint: innerPaths.trpc, req, router });
  });
  const server = createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false }) as Server;
  guardInnerPort(server, resources);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return {
    address: `http://${address}:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** The feed has an audience of its own, so that a token for the feed does not allow reporting strikes. */
function audienceOf(path: string): InnerAudience {
  return path === feedPath ? innerAudiences.feed : innerAudiences.entry;
}
