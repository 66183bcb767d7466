export {
  createEventPauses,
  lateCause,
  lateCauses,
  type EventPauses,
  type LateCause,
  type LongestPause,
} from './eventPauses';
export {
  createPaceMeter,
  createPauseFactor,
  paceToEndInTime,
  withinPace,
  type PaceMeter,
  type PaceTarget,
  type PauseFactor,
} from './decodePace';
export { createEventSize, type EventSize, type ReportedRun } from './eventSize';
export {
  isReturnConfirmed,
  areIgnoredEntriesLasting,
  judgeEntry,
  type EntryVerdict,
  type KnownEntry,
  type ReceivedEntry,
  type ReturnEvidence,
} from './entryHistory';
export { chooseRelays, type RelayChoiceOptions } from './relayChoice';
export {
  createMemoryForecast,
  survivalProbability,
  type MemoryForecast,
  type MemoryForecastOptions,
} from './memoryForecast';
export {
  createPlacementAdmission,
  type AdmissionDecision,
  type PlacementAdmission,
  type WaitingRequest,
} from './placementAdmission';
export { createOutputLengths, type LengthEstimate, type OutputLengths } from './outputLengths';
export { backoffDelayMs, type BackoffOptions } from './backoff';
export {
  nominalExpectation,
  placementPolicies,
  resolvePolicyPlan,
  rankWorkers,
  type PlacementPolicy,
  type PolicyPlan,
  type RankOptions,
  type NominalExpectationOptions,
} from './baselines';
export {
  bidRefusalReasons,
  chooseBid,
  type BidChoice,
  type BidChoiceOptions,
  type BidRefusalReason,
  type CandidateBid,
  type ReserveExpectation,
} from './bidChoice';
export { createBoundedMap, type BoundedMap, type BoundedMapOptions } from './boundedMap';
export {
  candidateReasons,
  createCandidateSelector,
  prefixKey,
  selectCandidates,
  type Candidate,
  type CandidateQuery,
  type CandidateReason,
  type CandidateSelector,
  type CandidateSelectorOptions,
  type SelectCandidatesOptions,
} from './candidates';
export {
  decidePrefill,
  estimateOutcome,
  predictFirstTokenMs,
  probabilityWithin,
  latestUsableInMs,
  type ExpectedOutcome,
  type LatencyTargets,
  type PhasePrediction,
  type PrefillDecision,
  type PrefillDecisionOptions,
  type ValueWeights,
} from './expectedValue';
export {
  createLengthPredictor,
  type LengthKey,
  type LengthPredictor,
  type LengthPredictorOptions,
  type LengthQuery,
  type RemainingQuery,
} from './lengthPredictor';
export {
  createLinkRates,
  type FinishedTransfer,
  type LinkRates,
  type LinkRatesOptions,
} from './linkRate';
export {
  createLoadHints,
  loadPressure,
  type AgedHint,
  type LoadEstimate,
  type LoadHints,
  type LoadHintsOptions,
} from './loadHints';
export {
  createOutlierDetector,
  type BreakerState,
  type OutlierDetector,
  type OutlierDetectorOptions,
} from './outlierDetection';
export {
  createOverloadController,
  overloadLevels,
  type OverloadController,
  type OverloadLevel,
  type OverloadOptions,
  type ShedDecision,
  type SheddableRequest,
} from './overload';
export {
  createPhaseModels,
  initialPhaseModel,
  prefillLocations,
  type PhaseModel,
  type PhaseModels,
  type PhaseModelsOptions,
  type PhaseObservation,
  type PrefillLocation,
} from './phaseModel';
export {
  createPrefillBacklog,
  type PrefillBacklog,
  type PrefillBacklogOptions,
} from './prefillBacklog';
export {
  createQuarantine,
  type Quarantine,
  type QuarantineOptions,
  type QuarantineQuery,
  type ReportedStrike,
} from './quarantine';
export { fleetQuarantinePolicy } from './fleetQuarantinePolicy';
export {
  activeStrikes,
  mergeQuarantineRecords,
  type CountedStrike,
  type QuarantineRecord,
} from './quarantineRecords';
export {
  type PartPolicies,
  type PartPolicy,
  type QuarantinePolicy,
  type QuarantineVerdict,
} from './quarantineVerdicts';
export {
  createRateLimiter,
  rateKey,
  shareByDemand,
  type DemandShareOptions,
  type RateDecision,
  type RateLimit,
  type RateLimiter,
  type RateLimiterOptions,
  type RateQuery,
} from './rateLimit';
export {
  createRecentQuantile,
  type RecentQuantile,
  type RecentQuantileOptions,
} from './recentQuantile';
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retryBudget';
export { decideRetry, type FailedAttempt, type RetryDecision } from './retryPolicy';
export {
  createRunningEstimate,
  type RunningEstimate,
  type RunningEstimateOptions,
} from './runningEstimate';
export {
  createStallDetector,
  type StallDetector,
  type StallDetectorOptions,
  type StallVerdict,
} from './stallDetector';
export {
  createStreamGuard,
  ignoredFrameCauses,
  truncationCauses,
  type FailedFrame,
  type GuardedFrame,
  type IgnoredFrameCause,
  type StreamGuard,
  type StreamGuardOptions,
  type TruncationCause,
} from './streamGuard';
export {
  createWeightedFairOrder,
  type WaitingItem,
  type WeightedFairOrder,
} from './weightedFairOrder';
export { compareUrgency, createOvertaking, type Overtaking, type WaitingUrgency } from './urgency';
export { workerNeeds, type CandidateInstance, type WorkerNeed } from './workerPools';
export {
  leaseStates,
  type Lease,
  type LeaseCapacity,
  type LeaseOwner,
  type LeasePurpose,
  type LeaseState,
  type LeaseTotals,
  type ReserveInput,
  type ReserveOutcome,
  type RunningState,
} from './lease';
export { createLeaseTable, type LeaseTable, type LeaseTableOptions } from './leaseTable';
export {
  createAdmissionQueue,
  type AdmissionQueue,
  type AdmissionQueueOptions,
  type OfferOutcome,
  type QueueClass,
  type Waiter,
} from './admissionQueue';
export {
  createOrderGuard,
  orderDeadline,
  type GuardedOrder,
  type OrderGuard,
  type OrderVerdict,
} from './orderGuard';
export {
  createCacheView,
  type CacheView,
  type CacheViewEvent,
  type CacheViewOptions,
} from './cacheView';
export {
  createSharedQuota,
  type NamedQuota,
  type Quota,
  type QuotaDecision,
  type QuotaAnnouncement,
  type QuotaSlack,
  type QuotaUse,
  type SharedQuota,
  type SharedQuotaOptions,
} from './sharedQuota';
export {
  createSharedPermits,
  type LimitObservation,
  type SharedPermits,
  type SharedPermitsOptions,
} from './sharedPermits';
export { createBackoffPeriods, maxBackoffMs, type BackoffPeriods } from './backoffPeriods';
export {
  createLearnedEstimates,
  type EstimateSummary,
  type LearnedEstimates,
  type LearnedEstimatesOptions,
} from './learnedEstimates';
export {
  areEven,
  choosePrefillEngine,
  relativeSpeed,
  withPendingPrompts,
  type PendingPrompt,
  type PrefillChoiceOptions,
  type PrefillEngine,
} from './prefillChoice';
export {
  createUnexplainedDelay,
  type UnexplainedDelay,
  type UnexplainedDelayOptions,
} from './unexplainedDelay';
export {
  createUnsettledRuns,
  type UnsettledRuns,
  type UnsettledRunsOptions,
} from './unsettledRuns';
export {
  createConnectionShedding,
  type ConnectionShedding,
  type ConnectionSheddingOptions,
} from './connectionShedding';
export { isInputCurrent, type InputState } from './inputCurrency';
export { writeIntervalMs, type WritePaceOptions } from './writePace';
