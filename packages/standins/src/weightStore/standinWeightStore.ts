/** A weight store whose readers share a limited rate. Sends no weights, but takes the time to send them. */
import { Hono } from 'hono';
import { createRateLimitedLink } from '../engine/rateLimitedLink';
import {
  disconnectSignal,
  listen,
  type ListenOptions,
  type NodeEnvironment,
  type StandinServer,
} from '../httpServer';

export interface StandinWeightStoreOptions extends ListenOptions {
  rateBytesPerSecond?: number;
  /** Size of each model's weights. */
  weightBytes?: number;
}

/** Concurrent readers take turns in chunks of this size. */
const chunkBytes = 16 * 1024 * 1024;

export async function createStandinWeightStore(
  options: StandinWeightStoreOptions = {},
): Promise<StandinServer> {
  const { rateBytesPerSecond = 2_000_000_000, weightBytes = 1_000_000_000 } = options;
  const link = createRateLimitedLink(rateBytesPerSecond);
  const readCounts = new Map<string, number>();
  const app = new Hono<NodeEnvironment>();

  app.get('/weights/:model/:version', async (context) => {
    const { model, version } = context.req.param();
    const signal = disconnectSignal(context);
    for (let sentBytes = 0; sentBytes < weightBytes && !signal.aborted; sentBytes += chunkBytes) {
      await link.transmit(Math.min(chunkBytes, weightBytes - sentBytes), signal);
    }
    const key = `${model}/${version}`;
    readCounts.set(key, (readCounts.get(key) ?? 0) + 1);
    return context.json({ model, version, bytes: weightBytes });
  });
  app.get('/stats', (context) => context.json({ reads: Object.fromEntries(readCounts) }));
  return listen(app, options);
}
