/** Client for the feed of another process. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { err, ok, ResultAsync } from 'neverthrow';
import { createBoundedFetch } from '@bluebellhitch/ports';
import {
  feedReplySchema,
  innerPaths,
  type EntryRouter,
  type FeedReply,
  type FeedRequest,
} from '@bluebellhitch/protocol';
import {
  createSealedFetch,
  credentialHeaders,
  innerAudiences,
  type InnerCredentials,
} from '@bluebellhitch/security';

export interface FeedCallError {
  kind: 'feed-unavailable';
  detail: string;
}

/** Sends one long poll to the process at an inner address. */
export type CallFeed = (
  innerAddress: string,
  request: FeedRequest,
  signal: AbortSignal,
) => ResultAsync<FeedReply, FeedCallError>;

/** Size of the client cache: there are few relays, and clients of those that have left are evicted. */
const maxClients = 16;

export interface FeedClientOptions {
  /** Absent: processes that require credentials refuse every call. */
  credentials?: InnerCredentials;
}

export function createFeedClient({ credentials }: FeedClientOptions = {}): CallFeed {
  const headers = credentialHeaders(credentials, innerAudiences.feed);
  const fetchReply =
    credentials === undefined ? createBoundedFetch() : createSealedFetch(credentials);
  const clients = new Map<string, TRPCClient<EntryRouter>>();

  function clientOf(innerAddress: string): TRPCClient<EntryRouter> {
    const known = clients.get(innerAddress);
    if (known !== undefined) {
      return known;
    }
    const url = `${innerAddress}${innerPaths.trpc}`;
    const client = createTRPCClient<EntryRouter>({
      links: [httpLink({ url, headers, fetch: fetchReply })],
    });
    [...clients.keys()].slice(0, 1 - maxClients).forEach((old) => clients.delete(old));
    clients.set(innerAddress, client);
    return client;
  }

  return (innerAddress, request, signal) =>
    ResultAsync.fromPromise(clientOf(innerAddress).feed.query(request, { signal }), (cause) =>
      feedUnavailable(String(cause)),
    ).andThen((reply) => {
      const parsed = feedReplySchema.safeParse(reply);
      return parsed.success ? ok(parsed.data) : err(feedUnavailable(parsed.error.message));
    });
}

function feedUnavailable(detail: string): FeedCallError {
  return { kind: 'feed-unavailable', detail };
}
