import {Agent} from 'node:http';
import {
  sendRequest,
  draftHeaders,
  probePath,
} from '@lilacledge/platform-standins';
import type {ClientAnswer} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {BurstyLoad} from './burstyLoad.js';
import {DEADLY_BODY, DEADLY_PART_ID, SHARED_PART_ID} from './deadlyLedger.js';
import type {Ledger} from './ledger.js';
import {RequestKind} from './soakEvent.js';
import {drawSlowRead, SLOW_BODY, withoutFiller} from './slowReader.js';
import type {SoakFleet} from './soakFleet.js';
import type {SoakEntry} from './soakPrograms.js';

const CALLERS_PER_ENTRY = 6;

/** Time that a caller waits between two requests. */
const THINK_TIME_MS = 60;

/** Time after which a caller aborts its request. */
const CALLER_TIMEOUT_MS = 11_000;

/** Largest number of events of a draft; an engine makes one in 5 ms. */
const MAX_EVENTS = 400;

/** Longest time until a leaving caller disconnects; its draft takes four times as long. */
const MAX_STAY_MS = 500;

/** Events of a stream that is resumed; a slow engine needs 1.6 s for them. */
const RESUMED_EVENTS = 6;

/** Time between two requests that crash their engines. */
const CRASHING_REQUEST_INTERVAL_MS = 200;

/** Interval at which each entry is probed for its configuration version. */
const PROBE_INTERVAL_MS = 250;

/** What requests that crash engines have in common. */
export const CrashingRequests = {
  /** All of them are the same. */
  ALIKE: 'alike',
  /** A part of their prompts; no two are alike. */
  WITH_PART: 'withPart',
} as const;
export type CrashingRequests =
  (typeof CrashingRequests)[keyof typeof CrashingRequests];

/** Simulated callers, each of which sends one request after another. */
export class SoakLoad {
  /** Violations: entries whose configuration version went back within one incarnation. */
  readonly versionRegressions: string[] = [];
  private isStopped = false;
  private areCrashingRequestsStopped = false;
  private nextId = 0;
  private readonly tasks: Array<Promise<void>> = [];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly ledger: Ledger,
    private readonly random: Random,
    /** Distinguishes the request ids of this run. */
    private readonly prefix: string,
    private readonly crashing?: CrashingRequests,
    /** Draws when the leaving caller disconnects; without it there is no such caller. */
    private readonly leaveRandom?: Random,
    /** Draws how slow readers read; without it there are none. */
    private readonly slowRandom?: Random,
    /** Draws how much callers have of the streams that they resume; without it there are none. */
    private readonly resumeRandom?: Random,
    /** Decides when and where callers send; without it they always do, anywhere. */
    private readonly bursts?: BurstyLoad,
  ) {}

  /** Starts the callers; crashing ones only the first time. */
  start(): void {
    const {entries} = this.fleet;
    this.isStopped = false;
    this.tasks.length = 0;
    for (let index = 0; index < entries.length * CALLERS_PER_ENTRY; index++) {
      this.tasks.push(this.runCaller());
    }
    for (const entry of entries) this.tasks.push(this.runVersionProbe(entry));
    if (this.crashing === CrashingRequests.ALIKE) {
      this.tasks.push(this.runCrashingCaller(() => DEADLY_BODY));
    }
    if (this.crashing === CrashingRequests.WITH_PART) {
      this.tasks.push(this.runCrashingCaller((id) => `prompt ${id}`));
    }
    if (this.leaveRandom !== undefined) {
      this.tasks.push(this.runLeavingCaller(this.leaveRandom));
    }
    const {resumeRandom, slowRandom} = this;
    if (resumeRandom !== undefined) {
      for (const entry of entries) {
        this.tasks.push(this.runResumingCaller(entry, resumeRandom));
      }
    }
    if (slowRandom === undefined) return;
    for (const entry of entries) {
      this.tasks.push(this.runSlowReader(entry, slowRandom));
    }
  }

  /** Stops requests that crash engines, so that they can't explain a later cut answer. */
  stopCrashingRequests(): void {
    this.areCrashingRequestsStopped = true;
  }

  async stop(): Promise<void> {
    this.stopCrashingRequests();
    this.isStopped = true;
    await Promise.all(this.tasks);
  }

  /** Sends to one entry over a kept connection until a request fails, then picks an entry again. */
  private async runCaller(): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    let entry = this.drawEntry();
    while (!this.isStopped) {
      const isServed = await this.sendAndRecord(entry, agent);
      if (!isServed) entry = this.drawEntry();
      const nowMs = systemClock.nowMs();
      entry = this.bursts?.entryOf(nowMs, this.fleet.entries) ?? entry;
      const thinkMs = this.bursts?.thinkTimeMs(nowMs) ?? THINK_TIME_MS;
      await sleep(systemClock, thinkMs);
    }
    agent.destroy();
  }

  private noteSent(requestId: string, kind: RequestKind, to: SoakEntry): void {
    const atMs = systemClock.nowMs();
    const entry = to.program.node.name;
    this.ledger.note({type: 'sent', atMs, requestId, kind, entry});
  }

  private drawEntry(): SoakEntry {
    const {entries} = this.fleet;
    return entries[Math.floor(this.random() * entries.length)]!;
  }

  /** Sends one request and records it; false when the caller should pick an entry again. */
  private async sendAndRecord(
    entry: SoakEntry,
    agent: Agent,
  ): Promise<boolean> {
    const drawn = this.random();
    const id = `${this.prefix}-${this.nextId++}`;
    const kind =
      drawn < 0.5
        ? RequestKind.DRAFT
        : drawn < 0.75
          ? RequestKind.BOOKING
          : RequestKind.LOOKUP;
    const events = 1 + Math.floor(this.random() ** 2 * MAX_EVENTS);
    const sentAtMs = systemClock.nowMs();
    this.noteSent(id, kind, entry);
    const answer = await this.send(entry, agent, id, kind, events);
    this.noteAttempt(id, kind, entry, sentAtMs, answer, events);
    return answer.status === 200 && answer.isComplete;
  }

  private noteAttempt(
    requestId: string,
    kind: RequestKind,
    entry: SoakEntry,
    sentAtMs: number,
    {status, isComplete, body, signature}: ClientAnswer,
    expectedEvents: number,
    resumedAfter?: number,
  ): void {
    this.ledger.note({
      type: 'attempt',
      requestId,
      kind,
      entry: entry.program.node.name,
      sentAtMs,
      endedAtMs: systemClock.nowMs(),
      status,
      isComplete,
      body,
      signature,
      expectedEvents,
      resumedAfter,
    });
  }

  private send(
    entry: SoakEntry,
    agent: Agent,
    id: string,
    kind: Exclude<RequestKind, 'resumed'>,
    events: number,
  ): Promise<ClientAnswer> {
    const signal = AbortSignal.timeout(CALLER_TIMEOUT_MS);
    const common = {id, agent, signal};
    switch (kind) {
      case RequestKind.DRAFT:
        return sendRequest(entry.url, '/draft/', {
          ...common,
          body: 'prompt',
          headers: {
            ...draftHeaders(events),
            'x-prefix-hash': `${SHARED_PART_ID}:20,${id}:80`,
          },
        });
      case RequestKind.BOOKING:
        return sendRequest(entry.url, '/book/', {...common, body: 'drum 7'});
      case RequestKind.LOOKUP:
        return sendRequest(entry.url, '/look/', common);
    }
  }

  /** Repeatedly sends a request that crashes its engine, each time to a random entry. */
  private async runCrashingCaller(
    bodyOf: (id: string) => string,
  ): Promise<void> {
    const hasPart = this.crashing === CrashingRequests.WITH_PART;
    const parts = hasPart ? [SHARED_PART_ID, DEADLY_PART_ID] : [];
    while (!this.areCrashingRequestsStopped) {
      const id = `${this.prefix}-deadly-${this.nextId++}`;
      const entry = this.drawEntry();
      this.ledger.note({
        type: 'sent',
        atMs: systemClock.nowMs(),
        requestId: id,
        kind: RequestKind.DRAFT,
        entry: entry.program.node.name,
        isDeadly: !hasPart,
        hasDeadlyPart: hasPart,
      });
      await sendRequest(entry.url, '/draft/', {
        id,
        body: bodyOf(id),
        headers: {
          ...draftHeaders(1),
          'x-prefix-hash': [...parts, id].map((part) => `${part}:20`).join(','),
        },
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
      });
      await sleep(systemClock, CRASHING_REQUEST_INTERVAL_MS);
    }
  }

  /** Repeatedly requests drafts and disconnects before they can be complete. */
  private async runLeavingCaller(random: Random): Promise<void> {
    while (!this.isStopped) {
      const id = `${this.prefix}-leaver-${this.nextId++}`;
      const leavesAfterMs = Math.round(random() * MAX_STAY_MS);
      const {entries} = this.fleet;
      const entry = entries[Math.floor(random() * entries.length)]!;
      this.noteSent(id, RequestKind.DRAFT, entry);
      const answer = await sendRequest(entry.url, '/draft/', {
        id,
        body: 'prompt',
        headers: draftHeaders(MAX_EVENTS),
        signal: AbortSignal.timeout(leavesAfterMs),
      });
      if (!answer.isComplete) {
        const atMs = systemClock.nowMs();
        this.ledger.note({type: 'callerLeft', atMs, requestId: id});
      }
      await sleep(systemClock, THINK_TIME_MS);
    }
  }

  /** Repeatedly requests a draft with large events from one entry and reads it late or never. */
  private async runSlowReader(entry: SoakEntry, random: Random): Promise<void> {
    while (!this.isStopped) {
      const id = `${this.prefix}-slow-${this.nextId++}`;
      const kind = RequestKind.DRAFT;
      const {events, readsAfterMs, chunkPauseMs, leavesAfterMs} =
        drawSlowRead(random);
      const isReading = Number.isFinite(readsAfterMs);
      const sentAtMs = systemClock.nowMs();
      this.noteSent(id, kind, entry);
      const answer = await sendRequest(entry.url, '/draft/', {
        id,
        body: SLOW_BODY,
        headers: draftHeaders(events),
        readsAfterMs: isReading ? readsAfterMs : 2 * leavesAfterMs,
        chunkPauseMs,
        signal: AbortSignal.timeout(leavesAfterMs),
      });
      if (isReading) {
        const body = withoutFiller(answer.body);
        const read = {...answer, body};
        this.noteAttempt(id, kind, entry, sentAtMs, read, events);
      } else {
        const atMs = systemClock.nowMs();
        this.ledger.note({type: 'callerLeft', atMs, requestId: id});
      }
      await sleep(systemClock, THINK_TIME_MS);
    }
  }

  /** Resumes streams, as a caller whose connection was lost. */
  private async runResumingCaller(
    entry: SoakEntry,
    random: Random,
  ): Promise<void> {
    while (!this.isStopped) {
      const id = `${this.prefix}-resumed-${this.nextId++}`;
      const kind = RequestKind.RESUMED;
      const resumedAfter = Math.floor(random() * RESUMED_EVENTS);
      const sentAtMs = systemClock.nowMs();
      this.noteSent(id, kind, entry);
      const answer = await sendRequest(entry.url, '/check/', {
        id,
        body: 'prompt',
        headers: {
          ...draftHeaders(RESUMED_EVENTS),
          'last-event-id': String(resumedAfter),
        },
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
      });
      const events = RESUMED_EVENTS;
      this.noteAttempt(id, kind, entry, sentAtMs, answer, events, resumedAfter);
      await sleep(systemClock, THINK_TIME_MS);
    }
  }

  /** Checks that the active version never goes back within one incarnation of the entry. */
  private async runVersionProbe(entry: SoakEntry): Promise<void> {
    let probedIncarnation = 0;
    let highestVersion = 0;
    while (!this.isStopped) {
      const {incarnation, node} = entry.program;
      if (incarnation !== probedIncarnation) {
        probedIncarnation = incarnation;
        highestVersion = 0;
      }
      for (const version of [this.fleet.version, highestVersion - 1]) {
        if (version < 1 || !(await this.serves(entry, version))) continue;
        if (entry.program.incarnation !== probedIncarnation) continue;
        if (version < highestVersion) {
          this.versionRegressions.push(
            `${node.name} serves version ${version} after ${highestVersion}`,
          );
        }
        highestVersion = Math.max(highestVersion, version);
      }
      await sleep(systemClock, PROBE_INTERVAL_MS);
    }
  }

  /** True when an entry serves a path that only this configuration version has. */
  async serves(entry: SoakEntry, version: number): Promise<boolean> {
    const id = `${this.prefix}-probe-${this.nextId++}`;
    this.noteSent(id, RequestKind.LOOKUP, entry);
    const answer = await sendRequest(entry.url, probePath(version), {
      id,
      headers: {},
      signal: AbortSignal.timeout(2_000),
    });
    return answer.status === 200;
  }
}
