/**
 * How a response is known to belong to its call. A connection that is used again may deliver a superfluous response: an
 * earlier one once more, or the response to an earlier call that took another one for its own. All that follows on the
 * connection is then moved by one place.
 */
export type CallIdentity =
  /** The server repeats the id of the request in this header of each response, and of each rejection. */
  | { kind: 'identified'; header: string; id: string }
  /** A call of the router itself, which bears no id. A response with one belongs to another call. */
  | { kind: 'anonymous'; header: string }
  /** The server names no request in its responses. */
  | { kind: 'unmarked' };

/** Why a response is not that of its call. */
export interface ForeignResponse {
  /** The id in the response; undefined if it has none. */
  echoedId: string | undefined;
}

/** Undefined if the response belongs to the call as far as ids show. Headers alternate names and values. */
export function findForeignResponse(
  identity: CallIdentity,
  headers: readonly string[],
): ForeignResponse | undefined {
  if (identity.kind === 'unmarked') {
    return undefined;
  }
  // An empty value names no request. The HTTP client keeps white space behind a value.
  const echoedId = valueOf(headers, identity.header)?.trim() || undefined;
  return echoedId === expectedIdOf(identity) ? undefined : { echoedId };
}

/** Undefined for a call without an id. Ids that differ in outer white space are one: servers may leave it out. */
export function expectedIdOf(identity: CallIdentity): string | undefined {
  return identity.kind === 'identified' ? identity.id.trim() : undefined;
}

function valueOf(headers: readonly string[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  const nameIndex = headers.findIndex(
    (part, index) => index % 2 === 0 && part.toLowerCase() === wanted,
  );
  return nameIndex < 0 ? undefined : headers[nameIndex + 1];
}
