import type {
  BookingAnswer,
  SidecarProcess,
  StreamedAnswer,
} from '@lilacledge/localstack';

interface GenerationRecord {
  readonly expected: number;
  readonly texts: string[];
  end: 'open' | 'complete' | 'failed' | 'abandoned';
}

interface ServiceRun {
  readonly requestId: string;
  readonly body: string;
}

/** What callers got, to be compared with what engines and services did. */
export class ChaosLedger {
  private readonly generations = new Map<string, GenerationRecord>();
  private readonly bookings = new Map<string, boolean>();
  private readonly notRun = new Set<string>();
  private readonly notes: string[] = [];

  openGeneration(expected: number): string {
    const mark = `caller-${this.generations.size}`;
    this.generations.set(mark, {expected, texts: [], end: 'open'});
    return mark;
  }

  addTokens(mark: string, answer: StreamedAnswer): void {
    const record = this.generations.get(mark)!;
    record.texts.push(...answer.texts);
    if (answer.isComplete) record.end = 'complete';
    else if (!answer.isBroken) record.end = 'failed';
  }

  abandon(mark: string): void {
    this.generations.get(mark)!.end = 'abandoned';
  }

  openBooking(key: string): void {
    this.bookings.set(key, false);
  }

  addBookingAnswer(
    key: string,
    requestId: string,
    answer: BookingAnswer | undefined,
  ): void {
    if (answer?.status === 201) this.bookings.set(key, true);
    if (answer?.body['verdict'] === 'notRun') this.notRun.add(requestId);
  }

  note(violation: string): void {
    this.notes.push(violation);
  }

  counts() {
    const ends = [...this.generations.values()].map(({end}) => end);
    return {
      generations: ends.length,
      completed: ends.filter((end) => end === 'complete').length,
      failedHonestly: ends.filter((end) => end === 'failed').length,
      bookings: this.bookings.size,
      bookingsAnswered: [...this.bookings.values()].filter(Boolean).length,
    };
  }

  /** Every broken promise, in words. */
  async judge(sidecars: readonly SidecarProcess[]): Promise<string[]> {
    const found = [...this.notes];
    for (const [mark, record] of this.generations) {
      const fault = judgeGeneration(record);
      if (fault !== undefined) found.push(`${mark}: ${fault}`);
    }
    return [...found, ...this.judgeRuns(await readRuns(sidecars))];
  }

  private judgeRuns(runs: readonly ServiceRun[]): string[] {
    const found: string[] = [];
    const counts = new Map<string, number>();
    for (const {body, requestId} of runs) {
      const {key} = JSON.parse(body) as {key: string};
      counts.set(key, (counts.get(key) ?? 0) + 1);
      if (this.notRun.has(requestId)) {
        found.push(`${requestId}: ran, but was called not run`);
      }
    }
    for (const [key, count] of counts) {
      if (count > 1) found.push(`${key}: ran ${count} times`);
    }
    for (const [key, isAnswered] of this.bookings) {
      if (isAnswered && !counts.has(key)) {
        found.push(`${key}: answered, but never ran`);
      }
    }
    return found;
  }
}

function judgeGeneration(record: GenerationRecord): string | undefined {
  const tokens = record.texts.map((text) => text.trim().split('#'));
  const generations = new Set(tokens.map(([generation]) => generation));
  if (generations.size > 1) return 'tokens of more than one generation';
  const misplaced = tokens.findIndex(([, index], at) => Number(index) !== at);
  if (misplaced >= 0) return `token ${misplaced} is lost, doubled or late`;
  if (record.end === 'complete' && tokens.length !== record.expected) {
    return `complete with ${tokens.length} of ${record.expected} tokens`;
  }
  return undefined;
}

async function readRuns(
  sidecars: readonly SidecarProcess[],
): Promise<ServiceRun[]> {
  const homes = sidecars.filter(({instanceId}) =>
    instanceId.startsWith('home'),
  );
  const lists = await Promise.all(
    homes.map(async ({endpointUrl}) => {
      const response = await fetch(`${endpointUrl}/runs`);
      return (await response.json()) as ServiceRun[];
    }),
  );
  return lists.flat();
}
