/** What one router has in progress at an engine. */
import type { PeerEngineUse, StreamEstimate } from '@bluebellhitch/protocol';

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

export function heldTokens({ promptTokens, emittedTokens }: StreamEstimate): number {
  return promptTokens + emittedTokens;
}

/** Few streams exceed twice their median length; one that seems to is more likely to be paused. */
const maxGrowthFactor = 2;

export function withGrowth(stream: StreamEstimate, tokens: number): StreamEstimate {
  const { emittedTokens, medianOutputTokens } = stream;
  const maxTokens = Math.max(emittedTokens, maxGrowthFactor * medianOutputTokens);
  return { ...stream, emittedTokens: Math.min(emittedTokens + tokens, maxTokens) };
}

export function promptTokensOf({ streams }: EngineUse): number {
  return streams.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
}

/** A change of the memory that is in use on an engine. */
export interface UsageChange {
  tokens: number;
  atMs: number;
}

/** A load report shows the state of some hundred milliseconds ago: these are its minimum and maximum age. */
const minReportAgeMs = 700;
export const maxReportAgeMs = 1_100;

/** Where a report may or may not include a change, assumes the case that leaves fewer tokens unattributed. */
export function isUnreported({ tokens, atMs }: UsageChange, reportedAtMs: number): boolean {
  return atMs > reportedAtMs - (tokens < 0 ? maxReportAgeMs : minReportAgeMs);
}
