import type {RecordedRun} from '@lilacledge/platform-standins';

/**
 * Kinds of requests: a streamed draft, a booking that may run once, an idempotent look-up, the
 * rest of a stream that its caller has begun to read.
 */
export const RequestKind = {
  DRAFT: 'draft',
  BOOKING: 'booking',
  LOOKUP: 'lookup',
  RESUMED: 'resumed',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** The services of the configuration. */
export const SoakService = {DRAFTS: 'drafts', BOOKINGS: 'bookings'} as const;
export type SoakService = (typeof SoakService)[keyof typeof SoakService];

/** One attempt of a request, as its caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  readonly signature?: string;
  /** Number of events of a complete draft. */
  readonly expectedEvents?: number;
  /** Number of events that the caller of a resumed stream has. */
  readonly resumedAfter?: number;
}

/** An observation of a caller, an endpoint or the soak itself; times are monotonic. */
export type SoakEvent =
  /** The fixed part of the retry budget of all entries; the first event of a stream. */
  | {readonly type: 'allowance'; readonly retrySlack: number}
  /** An endpoint starts in a zone. */
  | {readonly type: 'zone'; readonly endpointId: string; readonly zone: string}
  /** Entries may have outdated state in this time. */
  | {
      readonly type: 'disturbed';
      readonly fromMs: number;
      readonly untilMs: number;
    }
  /** Open connections of entries broke; new ones work. */
  | {readonly type: 'connectionsReset'; readonly atMs: number}
  /** A caller is about to send a request. */
  | {
      readonly type: 'sent';
      readonly atMs: number;
      readonly requestId: string;
      readonly kind: RequestKind;
      /** The entry that it is sent to. */
      readonly entry?: string;
      /** True when engines crash under the whole request, or under its part. */
      readonly isDeadly?: boolean;
      readonly hasDeadlyPart?: boolean;
    }
  /** A request reached an endpoint, which was told the time that is left for it. */
  | {
      readonly type: 'arrived';
      readonly atMs: number;
      readonly service: SoakService;
      readonly requestId: string;
      readonly timeLeftMs?: number;
      readonly endpointId?: string;
      /** The rate limit that the endpoint announces in its answer. */
      readonly limitPerS?: number;
      /** True when it announces in its answer that it is leaving. */
      readonly saysLeaving?: boolean;
      /** The backoff that it requests as it rejects the request. */
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
  /** A caller closed its connection before its answer was complete. */
  | {
      readonly type: 'callerLeft';
      readonly atMs: number;
      readonly requestId: string;
    }
  /** The store recorded that an endpoint leaves, or is back under its id. */
  | {
      readonly type: 'endpointLeft' | 'endpointBack';
      readonly atMs: number;
      readonly endpointId: string;
    }
  /** A zone was evacuated, or its evacuation was ended. */
  | {
      readonly type: 'zoneEvacuated' | 'zoneTakenBack';
      readonly atMs: number;
      readonly zone: string;
    }
  /** An engine crashed under the deadly request, or one with the deadly part. */
  | {
      readonly type: 'deadlyEnd';
      readonly atMs: number;
      readonly isPart?: boolean;
    }
  /** The process of an entry ended; its successor starts without its state. */
  | {
      readonly type: 'entryEnded';
      readonly atMs: number;
      readonly entry: string;
    }
  /** The retries that the running process of an entry has counted, when they were asked for. */
  | {
      readonly type: 'retryCounter';
      readonly entry: string;
      readonly atMs: number;
      /** The same moment as a time of day. */
      readonly wallMs: number;
      readonly retries: number;
    }
  /** A program exited without the soak's doing. */
  | {readonly type: 'ownEnd'; readonly text: string}
  /** A program uses more memory than its settings allow it. */
  | {
      readonly type: 'overMemory';
      readonly atMs: number;
      readonly program: string;
      readonly residentMb: number;
      readonly memoryMb: number;
    };

/** A line of a recorded stream that is not a valid event, or contradicts another one. */
export class SoakEventError extends Error {
  override readonly name = 'SoakEventError';
}

/** Type of a field of an event; a question mark marks an optional field. */
type FieldType =
  'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'boolean?';

const FIELDS: Readonly<
  Record<SoakEvent['type'], Readonly<Record<string, FieldType>>>
> = {
  allowance: {retrySlack: 'number'},
  zone: {endpointId: 'string', zone: 'string'},
  connectionsReset: {atMs: 'number'},
  disturbed: {fromMs: 'number', untilMs: 'number'},
  sent: {
    atMs: 'number',
    requestId: 'string',
    kind: 'string',
    entry: 'string?',
    isDeadly: 'boolean?',
    hasDeadlyPart: 'boolean?',
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
    resumedAfter: 'number?',
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
  deadlyEnd: {atMs: 'number', isPart: 'boolean?'},
  entryEnded: {atMs: 'number', entry: 'string'},
  retryCounter: {
    entry: 'string',
    atMs: 'number',
    wallMs: 'number',
    retries: 'number',
  },
  ownEnd: {text: 'string'},
  overMemory: {
    atMs: 'number',
    program: 'string',
    residentMb: 'number',
    memoryMb: 'number',
  },
};

/** The allowed values of fields that hold an enumeration. */
const ALLOWED_VALUES: Readonly<Record<string, ReadonlySet<unknown>>> = {
  kind: new Set(Object.values(RequestKind)),
  service: new Set(Object.values(SoakService)),
};

/** Parses one line of a recorded stream; throws a `SoakEventError` that names the problem. */
export function parseSoakEvent(line: string): SoakEvent {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw new SoakEventError('the line is not valid JSON or is incomplete');
  }
  const fields = value as Record<string, unknown> | null;
  const type = fields?.['type'];
  if (typeof type !== 'string' || !Object.hasOwn(FIELDS, type)) {
    throw new SoakEventError('the line has no known event type');
  }
  const expected = FIELDS[type as SoakEvent['type']];
  for (const [name, fieldType] of Object.entries(expected)) {
    if (isValidField(name, fields![name], fieldType)) continue;
    throw new SoakEventError(`${type}: ${name} is not a valid ${fieldType}`);
  }
  return value as SoakEvent;
}

function isValidField(name: string, value: unknown, type: FieldType): boolean {
  const isOptional = type.endsWith('?');
  if (value === undefined) return isOptional;
  const allowed = ALLOWED_VALUES[name];
  if (allowed !== undefined) return allowed.has(value);
  return typeof value === type.replace('?', '');
}
