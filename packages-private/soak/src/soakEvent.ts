import type {RecordedRun} from '@lilacledge/platform-standins';

/** What a caller asked for. */
export const AskKind = {
  DRAFT: 'draft',
  BOOKING: 'booking',
  LOOKUP: 'lookup',
} as const;
export type AskKind = (typeof AskKind)[keyof typeof AskKind];

/** The services of the configuration. */
export const SoakService = {DRAFTS: 'drafts', BOOKINGS: 'bookings'} as const;
export type SoakService = (typeof SoakService)[keyof typeof SoakService];

/** One client attempt as its caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly kind: AskKind;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  readonly signature?: string;
  /** Events that a whole draft has. */
  readonly expectedEvents?: number;
}

/** One thing that callers, endpoints or the soak itself saw; times are monotonic. */
export type SoakEvent =
  /** What all entries may repeat; the first event of a stream. */
  | {readonly type: 'allowance'; readonly retrySlack: number}
  /** An endpoint starts in a zone. */
  | {readonly type: 'zone'; readonly endpointId: string; readonly zone: string}
  /** Entries may be out of step in this time. */
  | {
      readonly type: 'disturbed';
      readonly fromMs: number;
      readonly untilMs: number;
    }
  /** A caller is about to send a request. */
  | {
      readonly type: 'sent';
      readonly atMs: number;
      readonly requestId: string;
      readonly kind: AskKind;
      /** The entry that is asked. */
      readonly entry?: string;
    }
  /** A request reached an endpoint, which was given so much time for it. */
  | {
      readonly type: 'arrived';
      readonly atMs: number;
      readonly service: SoakService;
      readonly requestId: string;
      readonly timeLeftMs?: number;
      readonly endpointId?: string;
      /** The rate that the endpoint names in its answer. */
      readonly limitPerS?: number;
      /** True when it says in its answer that it leaves. */
      readonly saysLeaving?: boolean;
      /** The rest that it asks for as it rejects the request. */
      readonly restMs?: number;
    }
  /** A caller's attempt ended. */
  | ({readonly type: 'attempt'} & Attempt)
  /** An endpoint began to work on a request. */
  | ({readonly type: 'run'} & RecordedRun)
  /** An engine's work on a request ended. */
  | {
      readonly type: 'runEnded';
      readonly atMs: number;
      readonly requestId: string;
      readonly isDone: boolean;
    }
  /** A caller closed its connection before its answer was whole. */
  | {
      readonly type: 'callerLeft';
      readonly atMs: number;
      readonly requestId: string;
    }
  /** The store took note that an endpoint leaves, or is back under its id. */
  | {
      readonly type: 'endpointLeft' | 'endpointBack';
      readonly atMs: number;
      readonly endpointId: string;
    }
  /** A zone was evacuated, or taken back. */
  | {
      readonly type: 'zoneEvacuated' | 'zoneTakenBack';
      readonly atMs: number;
      readonly zone: string;
    }
  /** An engine ended under the deadly request. */
  | {readonly type: 'deadlyEnd'; readonly atMs: number}
  /** The process of an entry ended: the next one knows nothing. */
  | {
      readonly type: 'entryEnded';
      readonly atMs: number;
      readonly entry: string;
    }
  /** A program ended, and nobody had asked for it. */
  | {readonly type: 'ownEnd'; readonly text: string};

/** A line of a kept stream that is no event, or contradicts another one. */
export class SoakEventError extends Error {
  override readonly name = 'SoakEventError';
}

/** What a field of an event holds; a question mark stands for one that may be missing. */
type FieldType =
  'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'boolean?';

const FIELDS: Readonly<
  Record<SoakEvent['type'], Readonly<Record<string, FieldType>>>
> = {
  allowance: {retrySlack: 'number'},
  zone: {endpointId: 'string', zone: 'string'},
  disturbed: {fromMs: 'number', untilMs: 'number'},
  sent: {
    atMs: 'number',
    requestId: 'string',
    kind: 'string',
    entry: 'string?',
  },
  arrived: {
    atMs: 'number',
    service: 'string',
    requestId: 'string',
    timeLeftMs: 'number?',
    endpointId: 'string?',
    limitPerS: 'number?',
    saysLeaving: 'boolean?',
    restMs: 'number?',
  },
  attempt: {
    requestId: 'string',
    kind: 'string',
    entry: 'string',
    sentAtMs: 'number',
    endedAtMs: 'number',
    status: 'number',
    isComplete: 'boolean',
    body: 'string',
    signature: 'string?',
    expectedEvents: 'number?',
  },
  run: {
    requestId: 'string',
    endpointId: 'string',
    atMs: 'number',
    isContinued: 'boolean',
    organisation: 'string?',
    hasKey: 'boolean',
  },
  runEnded: {atMs: 'number', requestId: 'string', isDone: 'boolean'},
  callerLeft: {atMs: 'number', requestId: 'string'},
  endpointLeft: {atMs: 'number', endpointId: 'string'},
  endpointBack: {atMs: 'number', endpointId: 'string'},
  zoneEvacuated: {atMs: 'number', zone: 'string'},
  zoneTakenBack: {atMs: 'number', zone: 'string'},
  deadlyEnd: {atMs: 'number'},
  entryEnded: {atMs: 'number', entry: 'string'},
  ownEnd: {text: 'string'},
};

/** Fields that hold one of some words. */
const WORDS: Readonly<Record<string, ReadonlySet<unknown>>> = {
  kind: new Set(Object.values(AskKind)),
  service: new Set(Object.values(SoakService)),
};

/** Parses one line of a kept stream; throws an error that names what is wrong. */
export function parseSoakEvent(line: string): SoakEvent {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw new SoakEventError('the line is no JSON, or ends in the middle');
  }
  const fields = value as Record<string, unknown> | null;
  const type = fields?.['type'];
  if (typeof type !== 'string' || !Object.hasOwn(FIELDS, type)) {
    throw new SoakEventError('the line names no type of event');
  }
  const expected = FIELDS[type as SoakEvent['type']];
  for (const [name, fieldType] of Object.entries(expected)) {
    if (isField(name, fields![name], fieldType)) continue;
    throw new SoakEventError(`${type}: ${name} is no ${fieldType}`);
  }
  return value as SoakEvent;
}

function isField(name: string, value: unknown, type: FieldType): boolean {
  const isOptional = type.endsWith('?');
  if (value === undefined) return isOptional;
  const words = WORDS[name];
  if (words !== undefined) return words.has(value);
  return typeof value === type.replace('?', '');
}
