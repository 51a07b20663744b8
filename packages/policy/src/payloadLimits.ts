/** Decides how many bytes of request bodies and plain answers a process holds. */

/** What a process holds as a whole. */
export const PayloadKind = {
  REQUEST_BODY: 'requestBody',
  /** An answer that is not a stream. */
  ANSWER: 'answer',
} as const;
export type PayloadKind = (typeof PayloadKind)[keyof typeof PayloadKind];

const BYTES_PER_MB = 1e6;

/** The rest of its memory is left for what isn't counted. */
const USABLE_SHARE = 0.8;

/** Taken by a process without requests. */
const IDLE_MB = 62;

/** Taken by the events of streams. */
const STREAMS_SHARE = 1 / 12;

/** Share of what is left; connections and garbage need the rest. */
const PAYLOAD_SHARE = 0.5;

const MIN_PAYLOAD_MB = 4;
const MAX_PAYLOAD_MB = 64;

const SHARE_OF_KIND: Readonly<Record<PayloadKind, number>> = {
  [PayloadKind.REQUEST_BODY]: 0.6,
  [PayloadKind.ANSWER]: 0.4,
};

/** Cost of one held chunk beside its bytes: the objects of a buffer and its allocation. */
export const CHUNK_OVERHEAD_BYTES = 256;

/** A payload of up to this size counts as small. */
export const SMALL_PAYLOAD_BYTES = 8 * 1024;

/** Returns the bound on the bytes of one kind that a process holds. */
export function payloadLimitBytes(kind: PayloadKind, memoryMb: number): number {
  const usableMb = memoryMb * (USABLE_SHARE - STREAMS_SHARE) - IDLE_MB;
  const payloadMb = Math.min(
    Math.max(usableMb * PAYLOAD_SHARE, MIN_PAYLOAD_MB),
    MAX_PAYLOAD_MB,
  );
  return Math.floor(payloadMb * SHARE_OF_KIND[kind] * BYTES_PER_MB);
}
