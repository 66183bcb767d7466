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

/** Request headers that are forwarded to the backend server. */
export function forwardedRequestHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  return omitHeaders(headers, (name) => innerHeaderNames.has(name) || name === expectHeader);
}

/** Response headers that are forwarded to the entry; inner headers are dropped, since only the agent may set them. */
export function forwardedResponseHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  return omitHeaders(headers, (name) => innerHeaderNames.has(name));
}

function omitHeaders(
  headers: IncomingHttpHeaders,
  isDropped: (name: string) => boolean,
): IncomingHttpHeaders {
  const connectionNames = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const hopByHop = new Set([...hopByHopHeaders, ...connectionNames]);
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !hopByHop.has(name) && !isDropped(name)),
  );
}
