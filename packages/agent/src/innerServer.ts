/** The agent's inner port: messages over tRPC, model responses as event streams, and plain calls. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { createAgentRouter, innerPaths } from '@bluebellhitch/protocol';
import {
  createBodyReaderPool,
  createPortResources,
  guardInnerPort,
  readInnerCall,
  type InnerCall,
  type PortResources,
} from '@bluebellhitch/ports';
import { createInnerGuard, innerAudiences, type InnerSecurity } from '@bluebellhitch/security';
import { fetchRequestHandler } from '@trpc/server/adapters/fetch';
import { Hono, type Context } from 'hono';
import type { Agent } from './agent';
import type { PlainProxy } from './plainProxy';
import { createPortClosing, type PortClosing } from './portClosing';
import { handleStream } from './streamHandler';

export interface InnerServerOptions {
  agent: Agent;
  /** Absent where the backend server is a model engine. */
  plainProxy?: PlainProxy;
  security: Pick<InnerSecurity, 'accepts'>;
  /** Shared with the other ports of the process. Default: of its own. */
  resources?: PortResources;
  /** Called for each call without valid credentials. */
  onUnauthenticated?: () => void;
  host: string;
  /** 0 selects a free port. */
  port: number;
}

export interface InnerServer {
  /** `http://ip:port`. */
  address: string;
  /** Closes the port; responses in progress have `graceMs` to complete. */
  close(graceMs?: number): Promise<void>;
}

interface Environment {
  Bindings: HttpBindings;
  Variables: Required<Pick<InnerCall, 'announceClose'>>;
}

type InnerContext = Context<Environment>;

const callOf = ({ env, get }: InnerContext): InnerCall => ({
  ...env,
  announceClose: get('announceClose'),
});

/** Starts the inner port; rejects if the port is in use. */
export async function startInnerServer(options: InnerServerOptions): Promise<InnerServer> {
  const { resources = createPortResources() } = options;
  const closing = createPortClosing();
  const resolved = { ...options, resources, closing };
  const server = await listen(createApp(resolved), resolved);
  const { address, port } = server.address() as AddressInfo;
  return {
    address: `http://${address}:${port}`,
    close: (graceMs = 0) => closing.close(server, graceMs),
  };
}

type ResolvedOptions = InnerServerOptions & { resources: PortResources; closing: PortClosing };

function createApp(options: ResolvedOptions): Hono<Environment> {
  const { agent, plainProxy, security, onUnauthenticated: onRefused } = options;
  const bodies = createBodyReaderPool(options.resources.memory);
  const app = new Hono<Environment>();
  app.use('*', ({ env, set }, next) => {
    const taken = options.closing.take(env.incoming, env.outgoing);
    if (taken === undefined) {
      return Promise.resolve(RESPONSE_ALREADY_SENT);
    }
    set('announceClose', taken.announceClose);
    return next();
  });
  const audienceOf = () => innerAudiences.agent;
  app.use('*', createInnerGuard({ security, audienceOf, onRefused }));
  const router = createAgentRouter(agent.handlers);
  app.all(`${innerPaths.trpc}/*`, async (context) => {
    const req = await readInnerCall(callOf(context), bodies);
    return req === undefined
      ? RESPONSE_ALREADY_SENT
      : fetchRequestHandler({ endpoint: innerPaths.trpc, req, router });
  });
  app.post(innerPaths.streams, (context) => {
    // Written to the Node.js response directly, whose `write` reports when the receiver's buffer is full.
    const call = callOf(context);
    void handleStream(agent, call, bodies).catch(() => destroy(call));
    return RESPONSE_ALREADY_SENT;
  });
  if (plainProxy !== undefined) {
    const handlePlain = (context: InnerContext) => {
      const call = callOf(context);
      void plainProxy.handle(call).catch(() => destroy(call));
      return RESPONSE_ALREADY_SENT;
    };
    app.all(innerPaths.plain, handlePlain);
    app.all(`${innerPaths.plain}/*`, handlePlain);
  }
  return app;
}

function destroy({ outgoing }: InnerCall): void {
  outgoing.destroy();
}

function listen(
  app: Hono<Environment>,
  { host, port, resources, closing }: ResolvedOptions,
): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, () =>
      resolve(server),
    ) as Server;
    guardInnerPort(server, resources);
    closing.watch(server);
    server.once('error', reject);
  });
}
