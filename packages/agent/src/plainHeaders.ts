/** Headers of plain calls between entry, agent and backend server. */
import type { IncomingHttpHeaders } from 'node:http';
import { hopByHopHeaders, identifierSchema, innerHeaders } from '@bluebellhitch/protocol';
import * as z from 'zod';

const plainCallSchema = z.object({
  entryId: identifierSchema,
  entryIncarnation: identifierSchema,
  attemptId: identifierSchema,
  requestId: identifierSchema,
  institution: identifierSchema,
  className: identifierSchema,
  service: identifierSchema,
  deadlineInMs: z.coerce.number().nonnegative().optional(),
});
export type PlainCall = z.infer<typeof plainCallSchema>;

/** Parses the inner headers; undefined if one is missing or malformed. */
export function readPlainCall(headers: IncomingHttpHeaders): PlainCall | undefined {
  const values = Object.entries(innerHeaders).map(([name, header]) => [name, headers[header]]);
  return plainCallSchema.safeParse(Object.fromEntries(values)).data;
}

const innerHeaderNames = new Set<string>(Object.values(innerHeaders));
/** Handled by the HTTP server of this process; the client library does not forward it. */
const expectHeader = 'expect';

/** Request headers that are forwarded to the backend server, as alternating names and values. */
export function forwardedRequestHeaders(headers: IncomingHttpHeaders): string[] {
  const pairs = Object.entries(headers).flatMap(([name, value = []]) =>
    [value].flat().map((single): Header => [name, single]),
  );
  return omitHeaders(pairs, (name) => innerHeaderNames.has(name) || name === expectHeader);
}

/**
 * Response headers that are forwarded to the entry; inner headers are dropped, since only the agent may set them. Both
 * lists alternate names and values.
 */
export function forwardedResponseHeaders(headers: readonly string[]): string[] {
  const pairs = headers.flatMap((name, index): Header[] =>
    index % 2 === 0 ? [[name, headers[index + 1] ?? '']] : [],
  );
  return omitHeaders(pairs, (name) => innerHeaderNames.has(name));
}

type Header = readonly [name: string, value: string];

function omitHeaders(headers: readonly Header[], isDropped: (name: string) => boolean): string[] {
  const connectionNames = headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map((name) => name.trim().toLowerCase());
  const hopByHop = new Set([...hopByHopHeaders, ...connectionNames]);
  return headers
    .filter(([name]) => !hopByHop.has(name.toLowerCase()) && !isDropped(name.toLowerCase()))
    .flat();
}
