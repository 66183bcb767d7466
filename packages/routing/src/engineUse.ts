/** What one router has in progress at an engine. */
import type { PeerEngineUse } from '@bluebellhitch/protocol';

export type EngineUse = Omit<PeerEngineUse, 'serverId'>;

export function emptyUse(): EngineUse {
  return { streams: [], prefillTokens: 0, ownPrompts: 0, isSilent: false };
}

export function isEmptyUse({ streams, prefillTokens, ownPrompts, isSilent }: EngineUse): boolean {
  return streams.length === 0 && prefillTokens === 0 && ownPrompts === 0 && !isSilent;
}

/** The use of exactly these engines, with an empty entry for each that is not in use. */
export function selectEngineUse(
  used: readonly PeerEngineUse[],
  serverIds: readonly string[],
): PeerEngineUse[] {
  const known = new Map(used.map((use) => [use.serverId, use]));
  return serverIds.map((serverId) => known.get(serverId) ?? { serverId, ...emptyUse() });
}
