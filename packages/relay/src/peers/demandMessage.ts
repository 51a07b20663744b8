import {MAX_ORGANISATION_NAME, MAX_REPORT_ITEMS} from '@lilacledge/policy';
import type {DemandReport} from '@lilacledge/policy';

/** Maximum number of reports in one message, which keeps it below the size of a frame. */
export const MAX_REPORTS = 40;

/** True for the reports of the demand of entries from another process. */
export function areDemandReports(value: unknown): value is DemandReport[] {
  return isListOf(value, isDemandReport, MAX_REPORTS);
}

function isDemandReport(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const report = value as Partial<DemandReport>;
  const {origin, version, service, waitingUrgent, waitingOthers} = report;
  return (
    [origin, service].every(isText) &&
    [version, waitingUrgent, waitingOthers].every(isCount) &&
    isListOf(report.uses, isDemandUse) &&
    isListOf(report.returns, isReturnsDue)
  );
}

function isDemandUse(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 4) return false;
  const [name, ...tokens] = value as unknown[];
  return isName(name) && tokens.every(isCount);
}

function isReturnsDue(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isCount);
}

function isListOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
  maxLength = MAX_REPORT_ITEMS,
): boolean {
  return (
    Array.isArray(value) && value.length <= maxLength && value.every(isItem)
  );
}

function isName(value: unknown): boolean {
  return isText(value) && (value as string).length <= MAX_ORGANISATION_NAME;
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isCount(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0;
}
