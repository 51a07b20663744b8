export {decideAdmission, overflowChance, usableCapacity} from './admission.js';
export type {
  AdmissionDecision,
  AdmissionRule,
  EngineCapacity,
  MemoryClaim,
} from './admission.js';
export {RequestedBackoff} from './askedRest.js';
export {balanceGain} from './balanceMove.js';
export type {BalanceCandidate, RunPlace} from './balanceMove.js';
export {CallTimes} from './callTimes.js';
export {
  EndpointChooser,
  predictedCompletionMs,
  RoutingRule,
} from './chooseEndpoint.js';
export type {Candidate, RouteChoice, RouteRequest} from './chooseEndpoint.js';
export {ConnectionAdmission} from './connectionAdmission.js';
export type {EntryUse} from './connectionAdmission.js';
export {
  CapacityBound,
  connectionCapacity,
  DisplacementPace,
  isNearCapacity,
} from './connectionCapacity.js';
export type {ConnectionCapacity, ConnectionRoom} from './connectionCapacity.js';
export {
  HeldRequests,
  heldRequestBytes,
  heldRequestsLimitBytes,
  MAX_HELD_REQUESTS,
} from './heldRequests.js';
export type {RequestLine} from './heldRequests.js';
export {Exposure, isPart, PART_PREFIX} from './crashReports.js';
export type {CrashReport, Suspicion} from './crashReports.js';
export {CrashReportLimit} from './crashReportLimit.js';
export {HarmlessnessProof} from './harmlessnessProof.js';
export {CrashSuspicions} from './crashSuspicions.js';
export type {CrashVerdict} from './crashVerdict.js';
export {
  INITIAL_QUARANTINE_MS,
  MAX_QUARANTINE_MS,
  RETENTION_MS,
} from './quarantineRules.js';
export {isPlannedExit, isChosenForTrial} from './plannedExit.js';
export type {EndpointExit} from './plannedExit.js';
export {DrainRate} from './drainRate.js';
export {
  EngineClass,
  enginePriority,
  isUrgentAtEngine,
  orderRoutes,
  overtakenFactor,
} from './engineOrder.js';
export type {OrderedRoute} from './engineOrder.js';
export {EnginePace} from './enginePace.js';
export type {EngineForecasts} from './enginePace.js';
export {EngineSpeed, SpeedReference} from './engineSpeed.js';
export type {ReportedSpeed} from './engineSpeed.js';
export {estimateTokens} from './estimateTokens.js';
export {sampleForLoadQuery} from './freshLook.js';
export {HeapBound, heapGrowthLimitBytes} from './heapBound.js';
export {GarbageBound} from './garbageBound.js';
export type {Collector} from './garbageBound.js';
export {HeldAnswerBytes} from './heldAnswers.js';
export type {HeldAnswerState} from './heldAnswers.js';
export {BODY_CHECK_INTERVAL_MS, HeldBodies} from './heldBodies.js';
export type {HeldBody} from './heldBodies.js';
export {
  HELD_CHECK_INTERVAL_MS,
  HELD_EVENT_OVERHEAD_BYTES,
  HeldBytes,
  heldProcessLimitBytes,
} from './heldBytes.js';
export type {HeldStream} from './heldBytes.js';
export {hedgeRead} from './hedgedRead.js';
export type {HedgeSettings} from './hedgedRead.js';
export {isAllowedRegion} from './homes.js';
export type {AllowedRegions} from './homes.js';
export {IncarnationOrder, compareIncarnations} from './incarnation.js';
export type {Incarnation} from './incarnation.js';
export {
  decideUnknownKey,
  KEY_SLOTS,
  KEY_UNOWNED_DETAIL,
  KEY_UNOWNED_RETRY_MS,
  slotOfKey,
} from './keyOwnership.js';
export type {
  KeyDecision,
  KeyInterval,
  UnknownKeyQuery,
} from './keyOwnership.js';
export {
  expiredKeptUntilMs,
  lastResortUntilMs,
  storeWatchTimeoutMs,
  watchAfterPauseMs,
} from './leaveBound.js';
export type {LeaveNotice} from './leaveBound.js';
export {
  LINK_CHECK_INTERVAL_MS,
  linkHeartbeatMs,
  LinkSilence,
} from './linkSilence.js';
export {chooseNextCopy, storeCallWaitMs} from './configCopies.js';
export type {CopyLimits, CopyProgress, NextCopy} from './configCopies.js';
export {Announcement, chooseNextRead} from './bulkReads.js';
export type {BulkAnswer, NextRead} from './bulkReads.js';
export type {StoreRecovery} from './leaveBound.js';
export {callDuration, mayBegin} from './shutdownAdmission.js';
export type {ShutdownTimes, WorkDuration} from './shutdownAdmission.js';
export {generationDuration} from './shutdownGeneration.js';
export type {ShutdownGeneration} from './shutdownGeneration.js';
export {ringSuccessors, ringCount} from './linkRings.js';
export {LengthEstimator, LengthModel} from './lengthModel.js';
export type {SurvivalEstimate} from './lengthModel.js';
export {
  areAboveShare,
  countAboveShare,
  fairShares,
  leavesRoom,
  owedTokens,
} from './organisationShares.js';
export type {
  FoundRoom,
  OrganisationUse,
  SharingRequest,
} from './organisationShares.js';
export {OrganisationLimiter} from './organisationLimiter.js';
export type {LimitDecision, OrganisationLimit} from './organisationLimiter.js';
export {PauseRisk} from './pauseRisk.js';
export type {ExpectedGaps} from './pauseRisk.js';
export {PromptSizes} from './promptSizes.js';
export {formerRegistrationHoldMs, LOST_ORDER_TTL_MS} from './restoredStore.js';
export {hasMemoryFor} from './engineMemory.js';
export type {EngineMemory, MemoryDemand} from './engineMemory.js';
export {plausibleStartMs} from './startTime.js';
export {SteadyTokenTime} from './steadyTokenTime.js';
export {isCompleteEnd} from './streamEnd.js';
export type {OrderlyEnd} from './streamEnd.js';
export {
  callerHasEvents,
  canContinue,
  continuedPosition,
  lastEventIdOf,
  positionAfter,
  positionOf,
} from './streamPosition.js';
export type {PlacedEvent, StreamPosition} from './streamPosition.js';
export {chooseTrialEndpoint} from './suspectPlace.js';
export type {TrialCandidate} from './suspectPlace.js';
export {queueKey} from './queueOrder.js';
export type {QueueRule, WaitingGeneration} from './queueOrder.js';
export {DoubtCause, PassiveHealth, NO_RESPONSE_LIMIT} from './passiveHealth.js';
export type {Doubt} from './passiveHealth.js';
export {
  CHUNK_OVERHEAD_BYTES,
  PayloadKind,
  payloadLimitBytes,
  SMALL_PAYLOAD_BYTES,
} from './payloadLimits.js';
export {prefixBlocks, PrefixHints} from './prefixHints.js';
export type {ReportedPacePercent} from './presentPace.js';
export {mostAtRisk} from './runOutlook.js';
export type {RunOutlook} from './runOutlook.js';
export {sendShare} from './sendShare.js';
export {
  MAX_ORGANISATION_NAME,
  MAX_REPORT_ITEMS,
  SharedDemand,
  WaitingKind,
} from './sharedDemand.js';
export type {
  DemandOrigin,
  DemandReport,
  DemandUse,
  DueCallers,
  OwnDemand,
  ReturnsDue,
} from './sharedDemand.js';
export {SharedReturns} from './sharedReturns.js';
export type {FreedRoom, RefusedCaller} from './sharedReturns.js';
export {
  RETRY_ARRIVAL_MS,
  RETRY_LOAN_MS,
  RetryKind,
  RetryLoan,
  RetrySource,
  SharedRetryBudget,
} from './sharedRetryBudget.js';
export type {
  BudgetSharing,
  RetryAllowance,
  TakenRetry,
} from './sharedRetryBudget.js';
export {OpenSend} from './openSend.js';
export {RequestSends} from './requestSends.js';
export {MAX_OPEN_MS} from './openRetry.js';
export type {OpenRetry} from './openRetry.js';
export {UnansweredSends} from './unansweredSends.js';
export {RetryBudgets} from './retryBudgets.js';
export type {FleetView} from './sharerCount.js';
export {LimitChange, AnnouncedLimit} from './statedLimit.js';
export type {
  ResponseTimes,
  LimitAnnouncement,
  LimitReporter,
  PeerLimitReport,
} from './statedLimit.js';
export {drawRetryAfter} from './returnTime.js';
export {decideRoom, forecastReturnMs} from './roomWait.js';
export type {RoomDecision, RoomRequest} from './roomWait.js';
export {
  BULK_PIECE_BYTES,
  BULK_READ_PACE,
  LoopPace,
  SENT_AHEAD_PACE,
} from './loopPace.js';
export type {PaceLimits} from './loopPace.js';
export {listenPatienceMs, ListenRetry} from './listenRetry.js';
export type {ListenDecision} from './listenRetry.js';
export {storeAnswerLimitBytes} from './storeAnswers.js';
export {MemoryLevels} from './memoryLevels.js';
export type {MemoryLevel} from './memoryLevels.js';
export {decideWithoutConfig, decideWithoutEndpoint} from './missingView.js';
export type {ViewDecision, ViewFacts} from './missingView.js';
export {UrgentReserve} from './urgentReserve.js';
export type {SharedEngines} from './urgentReserve.js';
export {OverdueWatches} from './overdueWatches.js';
export {batchDelayMs, ViewState} from './watchPace.js';
export {compareWaiting} from './waitingOrder.js';
export type {QueuePosition} from './waitingOrder.js';
export {ServingResult, servingResult} from './servingResult.js';
export type {ServingEnd, ServingGoals, ServingTimes} from './servingResult.js';
