/** Formats a Unix time; as its number if no date can hold it. */
export function formatTime(unixMs: bigint): string {
  const date = new Date(Number(unixMs));
  return Number.isNaN(date.getTime()) ? `${unixMs} ms` : date.toISOString();
}
