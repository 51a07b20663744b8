/** State of a request without proof of harmlessness when its endpoint crashed. */
export const Exposure = {
  /** Probably running: its response had started, or is sent as a whole at the end. */
  RUNNING: 'running',
  /** May have been running, waiting while another request ran, or running without harm. */
  WAITING: 'waiting',
} as const;
export type Exposure = (typeof Exposure)[keyof typeof Exposure];

/**
 * Prefix of features that are parts of prompts. All other features identify whole requests:
 * content and caller, the same for every attempt.
 */
export const PART_PREFIX = 'part-';

/** The crash of one incarnation of an endpoint while it had a request with a feature. */
export interface CrashReport {
  /** ID of the incarnation; the same in every process that reports the crash. */
  readonly life: string;
  readonly exposure: Exposure;
  /** Time since the crash; an age, as clocks of processes are not compared. */
  readonly agoMs: number;
  /** Time since the request was sent to the endpoint. */
  readonly sentAgoMs: number;
  /** True if events of the answer had arrived, the first of them just before the crash. */
  readonly hasEvents?: boolean;
  /** The request's other features; earlier builds report none. */
  readonly company?: readonly string[];
  /** Share of the reporter's requests that have the feature, from 0 to 1. */
  readonly share?: number;
  /**
   * Number of parts of the request's prompt that others may share; earlier builds report none.
   * `company` may have fewer, as parts that are served later are removed.
   */
  readonly promptParts?: number;
  /** Shares of the reporter's requests that have each of `company`, in whole percent. */
  readonly companyPercents?: readonly number[];
  /**
   * Incarnations of which the reporter knew, when it sent the request, that they had just crashed:
   * ages depend on how long a report was on its way. Earlier builds report none.
   */
  readonly knownLives?: readonly string[];
}

/** Crashes under one feature of requests, in the form that processes exchange. */
export interface Suspicion {
  /** The feature: a whole request, or a part of prompts. */
  readonly fingerprint: string;
  readonly ends: readonly CrashReport[];
  /** Incarnations that it did not crash, as a request with it has been served since. */
  readonly cleared: readonly string[];
}

/** How close a request was to being the cause of a crash. */
export const Closeness = {
  WAITING: 0,
  /** Its first events had just arrived. */
  STREAMING: 1,
  /** Its response had begun, without an event. */
  BEGUN: 2,
} as const;
export type Closeness = (typeof Closeness)[keyof typeof Closeness];

/** A crash as one process records it. */
export interface RecordedCrash {
  readonly life: string;
  readonly exposure: Exposure;
  readonly hasEvents: boolean;
  readonly atMs: number;
  readonly sentAtMs: number;
  /** Undefined if an earlier build reported it. */
  readonly company: readonly string[] | undefined;
  readonly share: number;
  readonly promptParts: number;
  readonly companyPercents: readonly number[] | undefined;
  /** Undefined if not told. */
  readonly knownLives: readonly string[] | undefined;
}

/** True for a part of prompts, false for a whole request. */
export function isPart(feature: string): boolean {
  return feature.startsWith(PART_PREFIX);
}

export function closenessOf({
  exposure,
  hasEvents,
}: Pick<CrashReport, 'exposure' | 'hasEvents'>): Closeness {
  if (hasEvents === true) return Closeness.STREAMING;
  return exposure === Exposure.RUNNING ? Closeness.BEGUN : Closeness.WAITING;
}

/** True if a report of a known crash has the request closer to it, less in common, or lives that weren't told. */
export function addsEvidence(
  known: RecordedCrash,
  report: CrashReport,
): boolean {
  const difference = closenessOf(report) - closenessOf(known);
  if (difference !== 0) return difference > 0;
  if (known.knownLives === undefined && report.knownLives !== undefined) {
    return true;
  }
  const {company} = report;
  if (company === undefined || known.company === undefined) return false;
  const reported = new Set(company);
  return known.company.some((name) => !reported.has(name));
}

/** Of two sends to one incarnation the stronger evidence counts, or what both have in common. */
export function mergeCrashes(
  a: RecordedCrash,
  b: RecordedCrash,
): RecordedCrash {
  const times = {
    atMs: Math.min(a.atMs, b.atMs),
    sentAtMs: Math.min(a.sentAtMs, b.sentAtMs),
  };
  const sends = {...times, knownLives: commonLives(a, b)};
  const difference = closenessOf(a) - closenessOf(b);
  if (difference !== 0) return {...(difference > 0 ? a : b), ...sends};
  const {company, companyPercents} = commonCompany(a, b);
  const share = Math.max(a.share, b.share);
  return {...a, ...sends, company, companyPercents, share};
}

/** An earlier build that repeats a report leaves its lives out. */
function commonLives(
  a: RecordedCrash,
  b: RecordedCrash,
): RecordedCrash['knownLives'] {
  if (a.knownLives === undefined) return b.knownLives;
  return a.knownLives.filter((life) => b.knownLives?.includes(life) ?? true);
}

type Company = Pick<RecordedCrash, 'company' | 'companyPercents'>;

function commonCompany(a: Company, b: Company): Company {
  if (a.company === undefined) return b;
  if (b.company === undefined) return a;
  const names = new Set(b.company);
  const {company, companyPercents} = a;
  return {
    company: company.filter((name) => names.has(name)),
    companyPercents: companyPercents?.filter((_percent, index) =>
      names.has(company[index]!),
    ),
  };
}
