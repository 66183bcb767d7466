/** The entry's trpc router on its inner port. */
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import {
  feedReplySchema,
  feedRequestSchema,
  strikeSchema,
  type FeedReply,
  type FeedRequest,
  type Strike,
} from './entryMessages';

export interface EntryHandlers {
  feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply>;
  strike(strikes: Strike[]): Promise<void>;
}

const trpc = initTRPC.create();
const doneSchema = z.object({ done: z.literal(true) });

export function createEntryRouter(handlers: EntryHandlers) {
  return trpc.router({
    feed: trpc.procedure
      .input(feedRequestSchema)
      .output(feedReplySchema)
      .query(({ input, signal }) => handlers.feed(input, signal)),
    strike: trpc.procedure
      .input(z.array(strikeSchema).max(100))
      .output(doneSchema)
      .mutation(async ({ input }) => {
        await handlers.strike(input);
        return { done: true as const };
      }),
  });
}

export type EntryRouter = ReturnType<typeof createEntryRouter>;
