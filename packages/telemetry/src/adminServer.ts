/** The admin port of a process: health, metrics and decision records, for operators only. */
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import type { Hono } from 'hono';
import {
  createPortResources,
  guardSmallPort,
  smallPortOptions,
  type PortResources,
} from '@bluebellhitch/ports';
import { createSharedRead } from '@bluebellhitch/shared';
import type { DecisionRing } from './decisionRing';
import type { RenderedMetrics } from './metrics';

export interface AdminServerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Shared with the other ports of the process. Default: of its own. */
  resources?: PortResources;
  metrics: RenderedMetrics;
  ring: DecisionRing;
  /** Whether the process accepts new work; reported by `/readyz`. */
  isReady: () => boolean;
  /** Whether the process works at all; reported by `/livez`. */
  isLive?: () => boolean;
  /** Additional `GET` paths, such as `/debug/config`; each responds with its value as JSON. */
  routes?: Record<string, () => unknown>;
}

export interface AdminServer {
  /** `http://ip:port`. */
  address: string;
  close(): Promise<void>;
}

const defaultRecentCount = 50;

/**
 * Starts the admin server; rejects if the port is in use. Its libraries are loaded only here, so that a process that
 * starts serving first does not wait for them (0.04 s of processor time).
 */
export async function startAdminServer(options: AdminServerOptions): Promise<AdminServer> {
  const app = await createAdminApp(options);
  const server = await listen(app, options);
  const { address, port } = server.address() as AddressInfo;
  return { address: `http://${address}:${port}`, close: () => closeServer(server) };
}

async function createAdminApp(options: AdminServerOptions): Promise<Hono> {
  const { metrics, ring, isReady, isLive = () => true, routes = {} } = options;
  const { Hono: App } = await import('hono');
  const app = new App();
  app.get('/livez', (context) => (isLive() ? context.text('ok') : context.text('not live', 503)));
  app.get('/readyz', (context) =>
    isReady() ? context.text('ok') : context.text('not ready', 503),
  );
  // Callers that ask at the same time share a text.
  const renderMetrics = createSharedRead(metrics.render);
  app.get('/metrics', async (context) =>
    context.body(await renderMetrics(), 200, { 'content-type': metrics.contentType }),
  );
  app.get('/debug/decisions', (context) => {
    const count = Number(context.req.query('count') ?? defaultRecentCount);
    return context.json(ring.recent(Number.isInteger(count) ? count : defaultRecentCount));
  });
  app.get('/debug/decisions/:id', (context) => {
    const record = ring.find(context.req.param('id'));
    return record === undefined ? context.json({ title: 'not found' }, 404) : context.json(record);
  });
  Object.entries(routes).forEach(([path, read]) => {
    app.get(path, async (context) => context.json((await read()) as object));
  });
  return app;
}

async function listen(app: Hono, options: AdminServerOptions): Promise<Server> {
  const { serve } = await import('@hono/node-server');
  return new Promise((resolve, reject) => {
    const { host: hostname, port, resources = createPortResources() } = options;
    const serverOptions = smallPortOptions;
    const server = serve({ fetch: app.fetch, hostname, port, serverOptions }, () =>
      resolve(server),
    ) as Server;
    guardSmallPort(server, resources);
    server.once('error', reject);
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
