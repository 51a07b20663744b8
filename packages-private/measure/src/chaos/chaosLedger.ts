import type {
  BookingAnswer,
  SidecarProcess,
  StreamedAnswer,
} from '@lilacledge/localstack';

/** What a caller requested of one generation and has received so far. */
interface GenerationRecord {
  readonly expected: number;
  readonly texts: string[];
  end: 'open' | 'complete' | 'failed' | 'abandoned';
}

/** A booking that a service has run, as its `/runs` lists it. */
interface ServiceRun {
  readonly requestId: string;
  readonly body: string;
}

/**
 * Records what callers received and checks it against the tokens that were
 * requested and the bookings that services ran.
 */
export class ChaosLedger {
  private readonly generations = new Map<string, GenerationRecord>();
  /** Whether each booking was answered as created, by its key. */
  private readonly bookings = new Map<string, boolean>();
  /** Requests that were answered with the verdict `notRun`. */
  private readonly notRun = new Set<string>();
  private readonly reportedViolations: string[] = [];

  recordGeneration(expected: number): string {
    const generationId = `caller-${this.generations.size}`;
    this.generations.set(generationId, {expected, texts: [], end: 'open'});
    return generationId;
  }

  /** Adds one part of a generation; resumed streams have several. */
  addTokens(generationId: string, answer: StreamedAnswer): void {
    const record = this.generations.get(generationId)!;
    record.texts.push(...answer.texts);
    if (answer.isComplete) record.end = 'complete';
    else if (!answer.isBroken) record.end = 'failed';
  }

  /** Marks a generation that was given up before its first event. */
  abandon(generationId: string): void {
    this.generations.get(generationId)!.end = 'abandoned';
  }

  recordBooking(key: string): void {
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

  /** Adds a violation that the run itself has observed. */
  note(violation: string): void {
    this.reportedViolations.push(violation);
  }

  summarise() {
    const ends = [...this.generations.values()].map(({end}) => end);
    return {
      generations: ends.length,
      completed: ends.filter((end) => end === 'complete').length,
      failedHonestly: ends.filter((end) => end === 'failed').length,
      bookings: this.bookings.size,
      bookingsAnswered: [...this.bookings.values()].filter(Boolean).length,
    };
  }

  /** Describes each violated guarantee. */
  async judge(sidecars: readonly SidecarProcess[]): Promise<string[]> {
    const violations = [...this.reportedViolations];
    for (const [generationId, record] of this.generations) {
      const defect = checkGeneration(record);
      if (defect !== undefined) violations.push(`${generationId}: ${defect}`);
    }
    return [...violations, ...this.checkRuns(await fetchServiceRuns(sidecars))];
  }

  private checkRuns(runs: readonly ServiceRun[]): string[] {
    const violations: string[] = [];
    const counts = new Map<string, number>();
    for (const {body, requestId} of runs) {
      const {key} = JSON.parse(body) as {key: string};
      counts.set(key, (counts.get(key) ?? 0) + 1);
      if (this.notRun.has(requestId)) {
        violations.push(`${requestId}: ran, but was called not run`);
      }
    }
    for (const [key, count] of counts) {
      if (count > 1) violations.push(`${key}: ran ${count} times`);
    }
    for (const [key, isAnswered] of this.bookings) {
      if (isAnswered && !counts.has(key)) {
        violations.push(`${key}: answered, but never ran`);
      }
    }
    return violations;
  }
}

/**
 * Each token reads `generation#index`: all must come from one generation, in
 * order and without gaps, and a complete stream must have all of them.
 */
function checkGeneration(record: GenerationRecord): string | undefined {
  const tokens = record.texts.map((text) => text.trim().split('#'));
  const generations = new Set(tokens.map(([generation]) => generation));
  if (generations.size > 1) return 'tokens of more than one generation';
  const misplacedAt = tokens.findIndex(([, index], at) => Number(index) !== at);
  if (misplacedAt >= 0) return `token ${misplacedAt} is lost, doubled or late`;
  if (record.end === 'complete' && tokens.length !== record.expected) {
    return `complete with ${tokens.length} of ${record.expected} tokens`;
  }
  return undefined;
}

async function fetchServiceRuns(
  sidecars: readonly SidecarProcess[],
): Promise<ServiceRun[]> {
  const serviceSidecars = sidecars.filter(({instanceId}) =>
    instanceId.startsWith('home'),
  );
  const lists = await Promise.all(
    serviceSidecars.map(async ({endpointUrl}) => {
      const response = await fetch(`${endpointUrl}/runs`);
      return (await response.json()) as ServiceRun[];
    }),
  );
  return lists.flat();
}
