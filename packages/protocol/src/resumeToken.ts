import {createHmac, timingSafeEqual} from 'node:crypto';

/** What a caller's `Last-Event-ID` stands for. */
export interface ResumePoint {
  readonly organisationId: string;
  /** Instance that logs the generation. */
  readonly instanceId: string;
  readonly generationId: string;
  /** Number of tokens that the caller has received. */
  readonly offset: number;
}

const TAG_BYTES = 12;

/**
 * The keyed part of the event ids of one stream. The offset is appended in the
 * clear: changing it only moves the caller within its own generation.
 */
export function createStreamTag(
  key: string,
  point: Omit<ResumePoint, 'offset'>,
): string {
  const fields = [point.organisationId, point.instanceId, point.generationId];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${payload}.${sign(key, payload).toString('base64url')}`;
}

/** Builds the id of the event that brings a caller to `offset` tokens. */
export function toEventId(streamTag: string, offset: number): string {
  return `${streamTag}.${offset}`;
}

/** Reads an event id; undefined when it is forged or damaged. */
export function parseEventId(
  key: string,
  eventId: string,
): ResumePoint | undefined {
  const [payload, tag, offset, ...rest] = eventId.split('.');
  if (payload === undefined || tag === undefined || rest.length > 0) {
    return undefined;
  }
  if (offset === undefined || !/^\d{1,9}$/.test(offset)) return undefined;
  const expected = sign(key, payload);
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

function sign(key: string, payload: string): Buffer {
  const mac = createHmac('sha256', key).update(`resume|${payload}`);
  return mac.digest().subarray(0, TAG_BYTES);
}
