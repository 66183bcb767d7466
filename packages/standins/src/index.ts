export {
  startStandinPlatform,
  type StartStandinPlatformOptions,
} from './platform/startStandinPlatform';
export {
  createStandinPlatform,
  type StandinPlatform,
  type StandinPlatformControl,
  type StandinPlatformOptions,
  type StandinPlatformStats,
} from './platform/standinPlatform';
export type { LostAnswers, PlatformVerb } from './platform/faults';
