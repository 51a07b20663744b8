export {
  changedParts,
  contentHash,
  joinConfig,
  missingParts,
  MAX_REMEMBERED_WRITES,
  splitConfig,
} from './configState.js';
export type {
  ConfigHead,
  ConfigPart,
  ConfigState,
  ConfigWrite,
} from './configState.js';
export {
  AdmissionMode,
  DEFAULT_POLICY,
  fleetConfigSchema,
  QueueMode,
  RouteMode,
} from './fleetConfig.js';
export type {
  FleetConfig,
  ModelService,
  Organisation,
  PlainService,
  PolicySettings,
  Service,
} from './fleetConfig.js';
export {formatIssues, parseDocument} from './parseDocument.js';
export type {DocumentIssue, ParsedDocument} from './parseDocument.js';
export {
  entrySettingsSchema,
  processSettingsSchema,
  sidecarSettingsSchema,
} from './processSettings.js';
export type {
  EntrySettings,
  ProcessSettings,
  SidecarSettings,
} from './processSettings.js';
