/** What one process has used so far, read from its `/metrics`. */
export interface ProcessUse {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly controlBytes: number;
  readonly openLinks: number;
  readonly revision: number;
}

/** Reads the use of a process. */
export async function scrape(url: string): Promise<ProcessUse> {
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

/** Mean of one field over several readings. */
export function meanOf(
  uses: readonly ProcessUse[],
  field: keyof ProcessUse,
): number {
  return uses.reduce((sum, use) => sum + use[field], 0) / uses.length;
}
