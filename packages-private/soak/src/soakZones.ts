const ZONES = ['north', 'south', 'west'] as const;

/** A zone of the fleet; consecutive numbers give all zones in turn. */
export function zoneAt(index: number): (typeof ZONES)[number] {
  return ZONES[index % ZONES.length]!;
}
