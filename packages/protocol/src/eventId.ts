import {createHmac, timingSafeEqual} from 'node:crypto';

/** Decoded `Last-Event-ID` of a caller: where to resume which generation. */
export interface ResumePoint {
  readonly organisationId: string;
  /** Instance that keeps the log of the generation. */
  readonly instanceId: string;
  readonly generationId: string;
  /** Number of tokens that the caller has received. */
  readonly offset: number;
}

const TAG_BYTES = 12;

/**
 * The authenticated part that all event ids of a stream share. The offset that follows
 * it is not authenticated: changing it only moves the caller within its own generation.
 */
export function createStreamTag(
  key: string,
  point: Omit<ResumePoint, 'offset'>,
): string {
  const fields = [point.organisationId, point.instanceId, point.generationId];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${payload}.${computeTag(key, payload).toString('base64url')}`;
}

/** Formats the id of the event after which a caller has received `offset` tokens. */
export function formatEventId(streamTag: string, offset: number): string {
  return `${streamTag}.${offset}`;
}

/** Parses an event id; undefined if it is forged or malformed. */
export function parseEventId(
  key: string,
  eventId: string,
): ResumePoint | undefined {
  const [payload, tag, offset, ...rest] = eventId.split('.');
  if (payload === undefined || tag === undefined || rest.length > 0) {
    return undefined;
  }
  if (offset === undefined || !/^\d{1,9}$/.test(offset)) return undefined;
  const expected = computeTag(key, payload);
  const actual = Buffer.from(tag, 'base64url');
  if (actual.length !== TAG_BYTES || !timingSafeEqual(expected, actual)) {
    return undefined;
  }
  const text = Buffer.from(payload, 'base64url').toString();
  const [organisationId, instanceId, generationId] = JSON.parse(
    text,
  ) as string[];
  return {
    organisationId: organisationId!,
    instanceId: instanceId!,
    generationId: generationId!,
    offset: Number(offset),
  };
}

function computeTag(key: string, payload: string): Buffer {
  const mac = createHmac('sha256', key).update(`resume|${payload}`);
  return mac.digest().subarray(0, TAG_BYTES);
}
