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
const GENERATION_CALLERS = 12;
const BOOKING_CALLERS = 6;
const FAULT_INTERVAL_MS = 2_500;
const SUSPENSION_MS = 6_500;
const PLATFORM_OUTAGE_MS = 4_000;

/** Runs real processes under random faults and checks the guarantees to callers. */
export async function runChaos(options: ChaosOptions): Promise<ChaosVerdict> {
  const stack = new LocalStack();
  try {
    return await new ChaosRun(stack, options).run();
  } finally {
    await stack.stop();
  }
}

class ChaosRun {
  private readonly random: Random;
  private readonly ledger = new ChaosLedger();
  private entries: StackProcess[] = [];
  private sidecars: SidecarProcess[] = [];
  private startedEntryCount = 0;
  private faults = 0;
  private isStopping = false;

  constructor(
    private readonly stack: LocalStack,
    private readonly options: ChaosOptions,
  ) {
    this.random = createRandom(options.seed);
  }

  async run(): Promise<ChaosVerdict> {
    await this.start();
    const callerTasks = [
      ...Array.from({length: GENERATION_CALLERS}, (_, index) =>
        this.runGenerationCaller(index),
      ),
      ...Array.from({length: BOOKING_CALLERS}, () => this.runBookingCaller()),
    ];
    const untilMs = systemClock.nowMs() + this.options.durationMs;
    while (systemClock.nowMs() < untilMs) {
      await sleep(systemClock, FAULT_INTERVAL_MS);
      await this.injectFault();
    }
    this.isStopping = true;
    await Promise.all(callerTasks);
    const violations = await this.ledger.judge(this.sidecars);
    return {
      seed: this.options.seed,
      faults: this.faults,
      ...this.ledger.summarise(),
      violations,
    };
  }

  private async start(): Promise<void> {
    await this.stack.startPlatform();
    const serviceSettings = {slotRoundMs: 300, keySkewMs: 0};
    this.sidecars = await Promise.all([
      ...[1, 2, 3].map((index) =>
        this.stack.startEngineSidecar(`engine-${index}`, 'llm', ZONE),
      ),
      ...[1, 2].map((index) =>
        this.stack.startPlainSidecar(
          `home-${index}`,
          'desk',
          ZONE,
          serviceSettings,
        ),
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
    const id = `entry-${++this.startedEntryCount}`;
    this.entries.push(await this.stack.startEntry(id, ZONE));
  }

  /**
   * Requests one generation after another and resumes those that are cut. The
   * first eight callers request short generations, the others longer ones.
   */
  private async runGenerationCaller(index: number): Promise<void> {
    while (!this.isStopping) {
      const tokens = 5 + Math.floor(this.random() * (index < 8 ? 80 : 600));
      await this.runGeneration(tokens);
    }
  }

  private async runGeneration(tokens: number): Promise<void> {
    const generationId = this.ledger.recordGeneration(tokens);
    const prompt = `${generationId} [[output=${tokens}]]`;
    let lastEventId: string | undefined;
    for (let attempt = 0; attempt < 6; attempt++) {
      const answer = await streamGeneration({
        url: this.pickRandom(this.entries).url,
        organisation: ORGANISATION,
        model: 'model-1',
        prompt,
        lastEventId,
      }).catch(() => undefined);
      if (answer !== undefined) {
        lastEventId = answer.eventIds.at(-1) ?? lastEventId;
        this.ledger.addTokens(generationId, answer);
        if (!answer.isBroken) return;
      }
      // Nothing was received, so nothing can be resumed: start a new request.
      if (lastEventId === undefined) return this.ledger.abandon(generationId);
      await sleep(systemClock, 200);
    }
  }

  /** Makes bookings, each under a new key; retries those that are not confirmed. */
  private async runBookingCaller(): Promise<void> {
    while (!this.isStopping) {
      const key = toMintedKey(Date.now(), randomBytes(10));
      this.ledger.recordBooking(key);
      for (let attempt = 0; attempt < 3; attempt++) {
        const answer = await postBooking({
          url: this.pickRandom(this.entries).url,
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

  /** Injects one fault, chosen at random, and prints it. */
  private async injectFault(): Promise<void> {
    this.faults++;
    const faultActions = [
      () => this.killEntry(),
      () => this.killSidecar(),
      () => this.suspendSidecar(),
      () => this.stopSidecarGracefully(),
      () => this.interruptPlatform(),
      () => this.dropPlatformAnswers(),
      () => this.expireLeases(),
      () => this.breakEngineStreams(),
      () => this.dropServiceConnections(),
    ];
    const line = await this.pickRandom(faultActions)();
    this.options.print(`fault ${this.faults}: ${line}`);
  }

  private async killEntry(): Promise<string> {
    const entry = this.pickRandom(this.entries);
    this.entries = this.entries.filter((other) => other !== entry);
    entry.child.signal('SIGKILL');
    await this.stack.removeMember(entry.instanceId);
    await this.addEntry();
    return `SIGKILL ${entry.instanceId}`;
  }

  private async killSidecar(): Promise<string> {
    const sidecar = this.pickRandom(this.sidecars);
    sidecar.child.signal('SIGKILL');
    await sidecar.child.exited;
    await this.restartSidecar(sidecar);
    return `SIGKILL and restart ${sidecar.instanceId}`;
  }

  private async suspendSidecar(): Promise<string> {
    const sidecar = this.pickRandom(this.sidecars);
    sidecar.child.signal('SIGSTOP');
    await sleep(systemClock, SUSPENSION_MS);
    sidecar.child.signal('SIGCONT');
    return `SIGSTOP for ${SUSPENSION_MS} ms ${sidecar.instanceId}`;
  }

  private async stopSidecarGracefully(): Promise<string> {
    const sidecar = this.pickRandom(this.sidecars);
    sidecar.child.signal('SIGTERM');
    const code = await sidecar.child.exited;
    await this.restartSidecar(sidecar);
    if (code !== 0) this.ledger.note(`${sidecar.instanceId} left with ${code}`);
    return `SIGTERM and restart ${sidecar.instanceId}`;
  }

  private async restartSidecar(sidecar: SidecarProcess): Promise<void> {
    const child = await this.stack.restartSidecar(sidecar.instanceId);
    this.sidecars = this.sidecars.map((other) =>
      other === sidecar ? {...sidecar, child} : other,
    );
  }

  private async interruptPlatform(): Promise<string> {
    await this.stack.controlPlatform({isDown: true});
    await sleep(systemClock, PLATFORM_OUTAGE_MS);
    await this.stack.controlPlatform({isDown: false});
    return `platform out for ${PLATFORM_OUTAGE_MS} ms`;
  }

  private async dropPlatformAnswers(): Promise<string> {
    await this.stack.controlPlatform({lostAnswers: 20});
    return 'platform loses 20 answers after the write';
  }

  private async expireLeases(): Promise<string> {
    await this.stack.controlPlatform({action: 'lapseLeases'});
    return 'all leases lapse';
  }

  private async breakEngineStreams(): Promise<string> {
    const engine = this.sidecars.find(({instanceId}) =>
      instanceId.startsWith('engine'),
    )!;
    await postJson(`${engine.endpointUrl}/control`, {breakAfterTokens: 20});
    await sleep(systemClock, 500);
    await postJson(`${engine.endpointUrl}/control`, {breakAfterTokens: null});
    return `${engine.instanceId} breaks streams off`;
  }

  private async dropServiceConnections(): Promise<string> {
    const serviceSidecar = this.pickRandom(
      this.sidecars.filter(({instanceId}) => instanceId.startsWith('home')),
    );
    const drop = this.random() < 0.5 ? 'before' : 'after';
    await postJson(`${serviceSidecar.endpointUrl}/control`, {drop});
    await sleep(systemClock, 500);
    await postJson(`${serviceSidecar.endpointUrl}/control`, {drop: 'never'});
    return `${serviceSidecar.instanceId} drops connections ${drop} the run`;
  }

  private pickRandom<T>(items: readonly T[]): T {
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
