export {
  assertNever,
  createRefusal,
  invariant,
  refusalReasons,
  type NotRun,
  type Refusal,
  type RefusalOptions,
  type RefusalReason,
} from './refusal';
export { formatFinding, formatFindings, type Finding, type FindingLocation } from './finding';
export {
  environmentName,
  exitCodes,
  exitOnInvalidSettings,
  flagName,
  loadSettingsOrExit,
  resolveSettings,
  type LoadSettingsOptions,
  type SettingDefinition,
  type SettingDefinitions,
  type SettingValues,
} from './settings';
export { hash32, hash64, hash64Hex, rendezvousOrder } from './hash';
export { createSeededRandom, rotateRandomly, type Random } from './random';
export { createBackgroundLoop, type BackgroundLoop } from './backgroundLoop';
export { delay, monotonicNowMs } from './clock';
export { digestParts } from './contentDigest';
export { startPauseTolerantTimer, type PauseTolerantTimer } from './pauseTolerantTimer';
export { runOnce } from './runOnce';
export { createSharedRead, type SharedRead } from './sharedRead';
export { ageMsOf, earlierBy, readClocks, type ClockReading } from './clockReading';
export { watchSlowSenders, type SlowSenderOptions } from './slowSenders';
export { isConnectError } from './connectErrors';
