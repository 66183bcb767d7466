export { mechanisms, type Mechanism } from './mechanisms';
export { parsePattern, type LoadPattern } from './pattern';
export { addFigures, type ReplayFigures, type ServedCount } from './replayFigures';
export { runReplay, type ReplayOptions } from './replayRun';
export { runQuotaReplay, type QuotaFigures, type QuotaReplayOptions } from './quota/quotaReplay';
export { quotaStrategies, type QuotaStrategy } from './quota/quotaStrategies';
export { type QuotaLoad, type QuotaStep } from './quota/quotaLoad';
export { ordinaryQuotaLoad, quotaLoads, serverLimitLoads } from './quota/quotaLoads';
