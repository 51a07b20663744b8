export {decideAdmission, overflowChance, usableCapacity} from './admission.js';
export type {
  AdmissionDecision,
  AdmissionRule,
  EngineCapacity,
  MemoryClaim,
} from './admission.js';
export {AskedRest} from './askedRest.js';
export {CallTimes} from './callTimes.js';
export {
  EndpointChooser,
  predictedCompletionMs,
  RouteKind,
} from './chooseEndpoint.js';
export type {Candidate, RouteChoice, RouteRequest} from './chooseEndpoint.js';
export {
  CrashSuspicions,
  Exposure,
  FIRST_QUARANTINE_MS,
  LONGEST_QUARANTINE_MS,
} from './crashSuspicions.js';
export type {CrashEnd, CrashVerdict, Suspicion} from './crashSuspicions.js';
export {endsAsPlanned, makesTrial} from './crashWitness.js';
export type {EndedLeave} from './crashWitness.js';
export {DrainRate} from './drainRate.js';
export {EnginePace} from './enginePace.js';
export {estimateTokens} from './estimateTokens.js';
export {drawToAsk} from './freshLook.js';
export {hedgeRead} from './hedgedRead.js';
export type {HedgeSettings} from './hedgedRead.js';
export {isHome} from './homes.js';
export type {Homes} from './homes.js';
export {Succession, succession} from './incarnation.js';
export type {Life} from './incarnation.js';
export {
  decideUnknownKey,
  KEY_SLOTS,
  KEY_UNOWNED_DETAIL,
  KEY_UNOWNED_RETRY_MS,
  slotOfKey,
} from './keyOwnership.js';
export type {KeyDecision, KeyInterval, KeyQuestion} from './keyOwnership.js';
export {lapseEndsMs, lastWorkEndsMs, storeWatchMs} from './leaveBound.js';
export type {LeaveNews} from './leaveBound.js';
export {readAfter} from './bulkReads.js';
export type {BulkAnswer, NextRead} from './bulkReads.js';
export type {StoreReturn} from './leaveBound.js';
export {endsInAnyCase, endsInTime} from './lastGeneration.js';
export type {LastGeneration} from './lastGeneration.js';
export {nextInRings, ringCount} from './linkRings.js';
export {LengthEstimator, LengthModel} from './lengthModel.js';
export type {SurvivalEstimate} from './lengthModel.js';
export {OrganisationLimiter} from './organisationLimiter.js';
export type {LimitDecision, OrganisationLimit} from './organisationLimiter.js';
export {PromptSizes} from './promptSizes.js';
export {suspectPlace} from './suspectPlace.js';
export type {SuspectPlace} from './suspectPlace.js';
export {urgency} from './queueOrder.js';
export type {QueueRule, WaitingGeneration} from './queueOrder.js';
export {DoubtCause, OutcomeHealth, SILENT_LIMIT} from './outcomeHealth.js';
export type {Doubt} from './outcomeHealth.js';
export {prefixBlocks, PrefixHints} from './prefixHints.js';
export {mostAtRisk} from './runOutlook.js';
export type {RunOutlook} from './runOutlook.js';
export {sendShare} from './sendShare.js';
export {SharedRetryBudget} from './sharedRetryBudget.js';
export type {BudgetSharing, RetryAllowance} from './sharedRetryBudget.js';
export {RetryBudgets} from './retryBudgets.js';
export type {FormerUse, OwnLife, RetryUse, ToldUse} from './retryBudgets.js';
export type {Sharers} from './sharerCount.js';
export {LimitChange, StatedLimit} from './statedLimit.js';
export type {
  AnswerTimes,
  LimitStatement,
  LimitTeller,
  ToldLimit,
} from './statedLimit.js';
export type {RepeatPart} from './repeatUse.js';
export {returnAfter} from './returnTime.js';
export {decideRoom} from './roomWait.js';
export type {RoomDecision, RoomQuestion} from './roomWait.js';
export {decideWithoutConfig, decideWithoutEndpoint} from './viewForecast.js';
export type {ViewDecision, ViewFacts} from './viewForecast.js';
export {gatherMs, ViewState} from './watchPace.js';
export {compareWaiting} from './waitingOrder.js';
export type {WaitingPlace} from './waitingOrder.js';
