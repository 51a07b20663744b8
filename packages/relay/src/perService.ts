/** Keeps one value per service, created on first use. */
export class PerService<T> {
  private readonly made = new Map<string, T>();

  constructor(private readonly create: (service: string) => T) {}

  of(service: string): T {
    const known = this.made.get(service);
    if (known !== undefined) return known;
    const added = this.create(service);
    this.made.set(service, added);
    return added;
  }

  /** The values created so far, by service. */
  entries(): Iterable<[string, T]> {
    return this.made.entries();
  }

  /** Sums an amount over all services that have a value. */
  sum(amountOf: (value: T) => number): number {
    let sum = 0;
    for (const value of this.made.values()) sum += amountOf(value);
    return sum;
  }
}
