import {eventCountOf, FakeEngine} from '@lilacledge/platform-standins';
import type {EngineFleet, ReceivedRequest} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import {DEADLY_BODY, DEADLY_PART_ID} from './deadlyLedger.js';
import {EndpointHost} from './endpointHost.js';
import type {HostSettings} from './endpointHost.js';
import {PADDING_BYTES, SLOW_BODY} from './slowReader.js';
import {SoakService} from './soakEvent.js';

/** Time between an engine's leave notice and its end, as on the users' platform. */
const LEAVE_NOTICE_MS = 1_800;

/** Times of a slow engine until the first event, and between two. */
const SLOW_PREFILL_MS = 400;
const SLOW_EVENT_MS = 200;

/** A host of engines. */
export class EngineHost extends EndpointHost<FakeEngine> {
  readonly sidecars = 1;

  constructor(
    settings: HostSettings,
    private readonly fleet: EngineFleet,
  ) {
    super(settings, SoakService.DRAFTS, LEAVE_NOTICE_MS);
  }

  set resetsRequests(resets: boolean) {
    if (this.current !== undefined) this.current.resetsRequests = resets;
  }

  set isSlow(isSlow: boolean) {
    const engine = this.current;
    if (engine === undefined) return;
    engine.prefillMs = isSlow ? SLOW_PREFILL_MS : 0;
    engine.eventDelayMs = isSlow ? () => SLOW_EVENT_MS : undefined;
  }

  protected create(id: string, port: number): FakeEngine {
    const engine = new FakeEngine(
      id,
      port,
      this.fleet,
      ({headers}) => eventCountOf(headers),
      this.noteRun,
      this.publicPort,
    );
    engine.onRunEnd = (requestId, isDone) => {
      const atMs = systemClock.nowMs();
      this.settings.note({type: 'runEnded', atMs, requestId, isDone});
    };
    engine.paddingBytes = ({body}) => (body === SLOW_BODY ? PADDING_BYTES : 0);
    engine.crashesOn = (received) =>
      received.body === DEADLY_BODY || hasDeadlyPart(received);
    engine.onCrash = (cause) => {
      if (cause === undefined) return;
      const atMs = systemClock.nowMs();
      const isPart = hasDeadlyPart(cause);
      this.settings.note({type: 'deadlyEnd', atMs, isPart});
      void this.crash();
    };
    return engine;
  }

  protected override registerAsDraining(): void {
    this.current?.announceLeave(LEAVE_NOTICE_MS);
    super.registerAsDraining();
  }

  protected endIncarnation(current: FakeEngine): void {
    current.crash();
  }
}

function hasDeadlyPart({headers}: Pick<ReceivedRequest, 'headers'>): boolean {
  return String(headers['x-prefix-hash']).includes(DEADLY_PART_ID);
}
