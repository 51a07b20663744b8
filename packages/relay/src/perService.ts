/** Something that this process keeps for each service, made when first asked for. */
export class PerService<T> {
  private readonly made = new Map<string, T>();

  constructor(private readonly make: () => T) {}

  of(service: string): T {
    const known = this.made.get(service);
    if (known !== undefined) return known;
    const added = this.make();
    this.made.set(service, added);
    return added;
  }

  /** What was made so far, by service. */
  entries(): Iterable<[string, T]> {
    return this.made.entries();
  }

  /** The sum of an amount over all services. */
  sum(amountOf: (value: T) => number): number {
    let sum = 0;
    for (const value of this.made.values()) sum += amountOf(value);
    return sum;
  }
}
