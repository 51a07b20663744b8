/**
 * An unbounded queue for one consumer. A producer that can be faster than the consumer
 * must limit itself, as the credit of a link does.
 */
export class AsyncQueue<T> implements AsyncIterable<T> {
  private readonly items: T[] = [];
  private waiting: ((result: IteratorResult<T>) => void) | undefined;
  private closed = false;

  get size(): number {
    return this.items.length;
  }

  /** Adds an item; does nothing after `close`. */
  push(item: T): void {
    if (this.closed) return;
    const waiting = this.waiting;
    if (waiting === undefined) {
      this.items.push(item);
      return;
    }
    this.waiting = undefined;
    waiting({value: item, done: false});
  }

  /** Ends the iteration once the items already in the queue are consumed. */
  close(): void {
    this.closed = true;
    this.waiting?.({value: undefined, done: true});
    this.waiting = undefined;
  }

  next(): Promise<IteratorResult<T>> {
    const item = this.items.shift();
    if (item !== undefined) return Promise.resolve({value: item, done: false});
    if (this.closed) return Promise.resolve({value: undefined, done: true});
    return new Promise((resolve) => {
      this.waiting = resolve;
    });
  }

  [Symbol.asyncIterator](): AsyncIterator<T> {
    return {next: () => this.next()};
  }
}
