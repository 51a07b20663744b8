const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * The Unix time in milliseconds at which a UUIDv7 (RFC 9562) was minted, or
 * undefined when `key` is not a UUIDv7.
 */
export function mintTimeMs(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

/** Creates a UUIDv7 from a Unix time and 10 random bytes. */
export function toMintedKey(timeMs: number, random: Uint8Array): string {
  const time = Math.floor(timeMs).toString(16).padStart(12, '0');
  const tail = Buffer.from(random.slice(0, 10)).toString('hex');
  const variant = (8 + (Number.parseInt(tail[3]!, 16) & 3)).toString(16);
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${tail.slice(0, 3)}`,
    `${variant}${tail.slice(4, 7)}`,
    tail.slice(7, 19).padEnd(12, '0'),
  ].join('-');
}
