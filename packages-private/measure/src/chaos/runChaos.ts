import {randomBytes} from 'node:crypto';
import {
  LocalStack,
  localApiKeyHash,
  postBooking,
  postJson,
  streamGeneration,
  waitFor,
} from '@lilacledge/localstack';
import type {SidecarProcess, StackProcess} from '@lilacledge/localstack';
import {
  createRandom,
  sleep,
  systemClock,
  toMintedKey,
} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {ChaosLedger} from './chaosLedger.js';

export interface ChaosOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly print: (line: string) => void;
}

export interface ChaosVerdict {
  readonly seed: number;
  readonly faults: number;
  readonly generations: number;
  readonly completed: number;
  readonly failedHonestly: number;
  readonly bookings: number;
  readonly bookingsAnswered: number;
  readonly violations: readonly string[];
}

const ZONE = 'zone-a';
const ORGANISATION = 'crew';
const CALLERS = 12;
const BOOKERS = 6;
const FAULT_PAUSE_MS = 2_500;
const STOP_MS = 6_500;
const OUTAGE_MS = 4_000;

/** Runs real processes under random faults, and judges what came of it. */
export async function runChaos(options: ChaosOptions): Promise<ChaosVerdict> {
  const stack = new LocalStack();
  try {
    return await new Chaos(stack, options).run();
  } finally {
    await stack.stop();
  }
}

class Chaos {
  private readonly random: Random;
  private readonly ledger = new ChaosLedger();
  private entries: StackProcess[] = [];
  private sidecars: SidecarProcess[] = [];
  private entriesMade = 0;
  private faults = 0;
  private isOver = false;

  constructor(
    private readonly stack: LocalStack,
    private readonly options: ChaosOptions,
  ) {
    this.random = createRandom(options.seed);
  }

  async run(): Promise<ChaosVerdict> {
    await this.start();
    const work = [
      ...Array.from({length: CALLERS}, (_, index) => this.callerTask(index)),
      ...Array.from({length: BOOKERS}, () => this.bookerTask()),
    ];
    const untilMs = systemClock.nowMs() + this.options.durationMs;
    while (systemClock.nowMs() < untilMs) {
      await sleep(systemClock, FAULT_PAUSE_MS);
      await this.bringFault();
    }
    this.isOver = true;
    await Promise.all(work);
    const violations = await this.ledger.judge(this.sidecars);
    return {
      seed: this.options.seed,
      faults: this.faults,
      ...this.ledger.counts(),
      violations,
    };
  }

  private async start(): Promise<void> {
    await this.stack.startPlatform();
    const extra = {slotRoundMs: 300, keySkewMs: 0};
    this.sidecars = await Promise.all([
      ...[1, 2, 3].map((index) =>
        this.stack.startEngineSidecar(`engine-${index}`, 'llm', ZONE),
      ),
      ...[1, 2].map((index) =>
        this.stack.startPlainSidecar(`home-${index}`, 'desk', ZONE, extra),
      ),
    ]);
    await this.addEntry();
    await this.addEntry();
    await this.stack.operator(this.entries[0]!).applyConfig({
      writeId: 'first',
      author: 'chaos',
      baseRevision: 0n,
      document: JSON.stringify(CONFIG),
    });
    await waitFor('serving endpoints', async () => {
      const {endpoints} = await this.stack
        .operator(this.entries[1]!)
        .getStatus({});
      const slots = endpoints.reduce((sum, row) => sum + row.slots, 0);
      return endpoints.length === 5 && slots === 24 ? true : undefined;
    });
  }

  private async addEntry(): Promise<void> {
    const id = `entry-${++this.entriesMade}`;
    this.entries.push(await this.stack.startEntry(id, ZONE));
  }

  /** Asks for one generation after another, and comes back when cut. */
  private async callerTask(index: number): Promise<void> {
    while (!this.isOver) {
      const tokens = 5 + Math.floor(this.random() * (index < 8 ? 80 : 600));
      await this.oneGeneration(tokens);
    }
  }

  private async oneGeneration(tokens: number): Promise<void> {
    const mark = this.ledger.openGeneration(tokens);
    const prompt = `${mark} [[output=${tokens}]]`;
    let lastEventId: string | undefined;
    for (let attempt = 0; attempt < 6; attempt++) {
      const answer = await streamGeneration({
        url: this.pick(this.entries).url,
        organisation: ORGANISATION,
        model: 'model-1',
        prompt,
        lastEventId,
      }).catch(() => undefined);
      if (answer !== undefined) {
        lastEventId = answer.eventIds.at(-1) ?? lastEventId;
        this.ledger.addTokens(mark, answer);
        if (!answer.isBroken) return;
      }
      // With nothing received there is nothing to resume: a new request.
      if (lastEventId === undefined) return this.ledger.abandon(mark);
      await sleep(systemClock, 200);
    }
  }

  /** Books under a new key each time, and asks again when left in doubt. */
  private async bookerTask(): Promise<void> {
    while (!this.isOver) {
      const key = toMintedKey(Date.now(), randomBytes(10));
      this.ledger.openBooking(key);
      for (let attempt = 0; attempt < 3; attempt++) {
        const answer = await postBooking({
          url: this.pick(this.entries).url,
          organisation: ORGANISATION,
          service: 'desk',
          body: {key},
          key,
          requestId: `${key}/${attempt}`,
        }).catch(() => undefined);
        this.ledger.addBookingAnswer(key, `${key}/${attempt}`, answer);
        if (answer?.status === 201) break;
        await sleep(systemClock, 100);
      }
      await sleep(systemClock, 50);
    }
  }

  private async bringFault(): Promise<void> {
    this.faults++;
    const kinds = [
      () => this.killEntry(),
      () => this.killSidecar(),
      () => this.stopSidecar(),
      () => this.leave(),
      () => this.platformOut(),
      () => this.platformLosesAnswers(),
      () => this.leasesLapse(),
      () => this.engineBreaks(),
      () => this.serviceDrops(),
    ];
    const line = await this.pick(kinds)();
    this.options.print(`fault ${this.faults}: ${line}`);
  }

  private async killEntry(): Promise<string> {
    const entry = this.pick(this.entries);
    this.entries = this.entries.filter((other) => other !== entry);
    entry.child.signal('SIGKILL');
    await this.stack.removeMember(entry.instanceId);
    await this.addEntry();
    return `SIGKILL ${entry.instanceId}`;
  }

  private async killSidecar(): Promise<string> {
    const sidecar = this.pick(this.sidecars);
    sidecar.child.signal('SIGKILL');
    await sidecar.child.exited;
    await this.restart(sidecar);
    return `SIGKILL and restart ${sidecar.instanceId}`;
  }

  private async stopSidecar(): Promise<string> {
    const sidecar = this.pick(this.sidecars);
    sidecar.child.signal('SIGSTOP');
    await sleep(systemClock, STOP_MS);
    sidecar.child.signal('SIGCONT');
    return `SIGSTOP for ${STOP_MS} ms ${sidecar.instanceId}`;
  }

  private async leave(): Promise<string> {
    const sidecar = this.pick(this.sidecars);
    sidecar.child.signal('SIGTERM');
    const code = await sidecar.child.exited;
    await this.restart(sidecar);
    if (code !== 0) this.ledger.note(`${sidecar.instanceId} left with ${code}`);
    return `SIGTERM and restart ${sidecar.instanceId}`;
  }

  private async restart(sidecar: SidecarProcess): Promise<void> {
    const child = await this.stack.restartSidecar(sidecar.instanceId);
    this.sidecars = this.sidecars.map((other) =>
      other === sidecar ? {...sidecar, child} : other,
    );
  }

  private async platformOut(): Promise<string> {
    await this.stack.controlPlatform({isDown: true});
    await sleep(systemClock, OUTAGE_MS);
    await this.stack.controlPlatform({isDown: false});
    return `platform out for ${OUTAGE_MS} ms`;
  }

  private async platformLosesAnswers(): Promise<string> {
    await this.stack.controlPlatform({lostAnswers: 20});
    return 'platform loses 20 answers after the write';
  }

  private async leasesLapse(): Promise<string> {
    await this.stack.controlPlatform({action: 'lapseLeases'});
    return 'all leases lapse';
  }

  private async engineBreaks(): Promise<string> {
    const engine = this.sidecars.find(({instanceId}) =>
      instanceId.startsWith('engine'),
    )!;
    await postJson(`${engine.endpointUrl}/control`, {breakAfterTokens: 20});
    await sleep(systemClock, 500);
    await postJson(`${engine.endpointUrl}/control`, {breakAfterTokens: null});
    return `${engine.instanceId} breaks streams off`;
  }

  private async serviceDrops(): Promise<string> {
    const home = this.pick(
      this.sidecars.filter(({instanceId}) => instanceId.startsWith('home')),
    );
    const drop = this.random() < 0.5 ? 'before' : 'after';
    await postJson(`${home.endpointUrl}/control`, {drop});
    await sleep(systemClock, 500);
    await postJson(`${home.endpointUrl}/control`, {drop: 'never'});
    return `${home.instanceId} drops connections ${drop} the run`;
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }
}

const CONFIG = {
  services: {
    llm: {kind: 'model', models: ['model-1']},
    desk: {kind: 'plain'},
  },
  organisations: [
    {id: ORGANISATION, apiKeySha256: [localApiKeyHash(ORGANISATION)]},
  ],
  routes: [
    {organisations: ['*'], service: 'llm'},
    {organisations: ['*'], service: 'desk'},
  ],
};
