import {Agent} from 'node:http';
import {ask, draftHeaders, probePath} from '@lilacledge/platform-standins';
import type {ClientAnswer} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {DEADLY_BODY} from './deadlyLedger.js';
import type {Ledger} from './ledger.js';
import {AskKind} from './soakEvent.js';
import type {SoakEntry, SoakFleet} from './soakFleet.js';

const CALLERS_PER_ENTRY = 6;

/** Pause of a caller between two requests. */
const THINK_MS = 60;

/** A caller gives up after this time. */
const PATIENCE_MS = 11_000;

/** Most events of a draft; an engine makes one in 5 ms. */
const MOST_EVENTS = 400;

/** A caller that leaves stays for up to this time; its draft takes four times as long. */
const LONGEST_STAY_MS = 500;

/** Pause before a request that ends engines comes again. */
const DEADLY_INTERVAL_MS = 200;

/** How often each entry is asked which configuration it has. */
const PROBE_INTERVAL_MS = 250;

/** Callers that ask one thing after another, and what they saw. */
export class SoakLoad {
  /** Versions that went back at an entry within one life of its process. */
  readonly regressions: string[] = [];
  private isOver = false;
  private isDeadlyOver = false;
  private nextId = 0;
  private readonly tasks: Array<Promise<void>> = [];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly ledger: Ledger,
    private readonly random: Random,
    /** Distinguishes the ids of this run. */
    private readonly prefix: string,
    private readonly hasDeadlyRequests = false,
    /** Draws when callers leave; none leaves where it is missing. */
    private readonly leaveRandom?: Random,
  ) {}

  start(): void {
    const {entries} = this.fleet;
    for (let index = 0; index < entries.length * CALLERS_PER_ENTRY; index++) {
      this.tasks.push(this.callerTask());
    }
    for (const entry of entries) this.tasks.push(this.probeTask(entry));
    if (this.hasDeadlyRequests) this.tasks.push(this.deadlyTask());
    if (this.leaveRandom !== undefined) {
      this.tasks.push(this.leavingTask(this.leaveRandom));
    }
  }

  /** From now on no engine ends by a request: whatever is cut is cut by something else. */
  stopDeadlyRequests(): void {
    this.isDeadlyOver = true;
  }

  async stop(): Promise<void> {
    this.stopDeadlyRequests();
    this.isOver = true;
    await Promise.all(this.tasks);
  }

  /** Keeps its connections until they end, whatever the entry is doing. */
  private async callerTask(): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    let entry = this.anyEntry();
    while (!this.isOver) {
      const isSettled = await this.askOnce(entry, agent);
      if (!isSettled) entry = this.anyEntry();
      await sleep(systemClock, THINK_MS);
    }
    agent.destroy();
  }

  private noteSent(requestId: string, kind: AskKind, to: SoakEntry): void {
    const atMs = systemClock.nowMs();
    const entry = to.program.node.name;
    this.ledger.note({type: 'sent', atMs, requestId, kind, entry});
  }

  private anyEntry(): SoakEntry {
    const {entries} = this.fleet;
    return entries[Math.floor(this.random() * entries.length)]!;
  }

  /** False when the caller should go elsewhere. */
  private async askOnce(entry: SoakEntry, agent: Agent): Promise<boolean> {
    const drawn = this.random();
    const id = `${this.prefix}-${this.nextId++}`;
    const kind =
      drawn < 0.5
        ? AskKind.DRAFT
        : drawn < 0.75
          ? AskKind.BOOKING
          : AskKind.LOOKUP;
    const events = 1 + Math.floor(this.random() ** 2 * MOST_EVENTS);
    const sentAtMs = systemClock.nowMs();
    this.noteSent(id, kind, entry);
    const answer = await this.send(entry, agent, id, kind, events);
    this.ledger.note({
      type: 'attempt',
      requestId: id,
      kind,
      entry: entry.program.node.name,
      sentAtMs,
      endedAtMs: systemClock.nowMs(),
      status: answer.status,
      isComplete: answer.isComplete,
      body: answer.body,
      signature: answer.signature,
      expectedEvents: events,
    });
    return answer.status === 200 && answer.isComplete;
  }

  private send(
    entry: SoakEntry,
    agent: Agent,
    id: string,
    kind: AskKind,
    events: number,
  ): Promise<ClientAnswer> {
    const signal = AbortSignal.timeout(PATIENCE_MS);
    const common = {id, agent, signal};
    switch (kind) {
      case AskKind.DRAFT:
        return ask(entry.url, '/draft/', {
          ...common,
          body: 'prompt',
          headers: draftHeaders(events),
        });
      case AskKind.BOOKING:
        return ask(entry.url, '/book/', {...common, body: 'drum 7'});
      case AskKind.LOOKUP:
        return ask(entry.url, '/look/', common);
    }
  }

  /** Asks for what ends engines, again and again, at whichever entry. */
  private async deadlyTask(): Promise<void> {
    while (!this.isDeadlyOver) {
      const id = `${this.prefix}-deadly-${this.nextId++}`;
      const entry = this.anyEntry();
      this.noteSent(id, AskKind.DRAFT, entry);
      await ask(entry.url, '/draft/', {
        id,
        body: DEADLY_BODY,
        headers: draftHeaders(1),
        signal: AbortSignal.timeout(PATIENCE_MS),
      });
      await sleep(systemClock, DEADLY_INTERVAL_MS);
    }
  }

  /** Asks for drafts, and leaves before they can be whole. */
  private async leavingTask(random: Random): Promise<void> {
    while (!this.isOver) {
      const id = `${this.prefix}-leaver-${this.nextId++}`;
      const staysMs = Math.round(random() * LONGEST_STAY_MS);
      const {entries} = this.fleet;
      const entry = entries[Math.floor(random() * entries.length)]!;
      this.noteSent(id, AskKind.DRAFT, entry);
      const answer = await ask(entry.url, '/draft/', {
        id,
        body: 'prompt',
        headers: draftHeaders(MOST_EVENTS),
        signal: AbortSignal.timeout(staysMs),
      });
      if (!answer.isComplete) {
        const atMs = systemClock.nowMs();
        this.ledger.note({type: 'callerLeft', atMs, requestId: id});
      }
      await sleep(systemClock, THINK_MS);
    }
  }

  /** Within one life of a process the version in force only rises. */
  private async probeTask(entry: SoakEntry): Promise<void> {
    let life = 0;
    let highest = 0;
    while (!this.isOver) {
      const {incarnation, node} = entry.program;
      if (incarnation !== life) {
        life = incarnation;
        highest = 0;
      }
      for (const version of [this.fleet.version, highest - 1]) {
        if (version < 1 || !(await this.serves(entry, version))) continue;
        if (entry.program.incarnation !== life) continue;
        if (version < highest) {
          this.regressions.push(
            `${node.name} serves version ${version} after ${highest}`,
          );
        }
        highest = Math.max(highest, version);
      }
      await sleep(systemClock, PROBE_INTERVAL_MS);
    }
  }

  /** Whether an entry serves what only this version allows. */
  async serves(entry: SoakEntry, version: number): Promise<boolean> {
    const id = `${this.prefix}-probe-${this.nextId++}`;
    this.noteSent(id, AskKind.LOOKUP, entry);
    const answer = await ask(entry.url, probePath(version), {
      id,
      headers: {},
      signal: AbortSignal.timeout(2_000),
    });
    return answer.status === 200;
  }
}
