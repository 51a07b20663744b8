/** Resource usage and state of a process, read from its `/metrics`. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly controlBytes: number;
  readonly openLinks: number;
  readonly revision: number;
}

/** Reads the usage of a process. */
export async function scrapeUsage(url: string): Promise<ProcessUsage> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const read = (name: string): number => {
    const line = text
      .split('\n')
      .find((row) => row.startsWith(`${name} `) || row.startsWith(`${name}{`));
    return Number(line?.split(' ').at(-1) ?? 0);
  };
  return {
    cpuS: read('process_cpu_seconds_total'),
    residentBytes: read('process_resident_memory_bytes'),
    controlBytes: read('lilacledge_control_sent_bytes'),
    openLinks:
      read('lilacledge_sidecar_links') ||
      read('lilacledge_entry_links{state="open"}'),
    revision: read('lilacledge_config_revision'),
  };
}

/** Mean of one field over several processes. */
export function meanOf(
  uses: readonly ProcessUsage[],
  field: keyof ProcessUsage,
): number {
  return uses.reduce((sum, usage) => sum + usage[field], 0) / uses.length;
}
