import {FakeService, sendSignedAnswer} from '@lilacledge/platform-standins';
import {EndpointHost} from './endpointHost.js';
import type {HostSettings} from './endpointHost.js';
import {SoakService} from './soakEvent.js';

/** Time that a leaving plain endpoint keeps serving; longer than entries may take to drain it. */
const SERVICE_LINGER_MS = 3_000;

/** Share of calls that a failing service answers with status 500. */
const FAILURE_SHARE = 0.5;

/** A host of plain endpoints. */
export class ServiceHost extends EndpointHost<FakeService> {
  readonly sidecars = 0;

  constructor(settings: HostSettings) {
    super(settings, SoakService.BOOKINGS, SERVICE_LINGER_MS);
  }

  set isFailing(isFailing: boolean) {
    const service = this.current;
    if (service === undefined) return;
    service.answer = (seen, response) => {
      const fails = isFailing && Math.random() < FAILURE_SHARE;
      sendSignedAnswer(service.id, seen, response, fails ? 500 : 200);
    };
  }

  protected create(id: string, port: number): FakeService {
    return new FakeService(id, port, undefined, this.noteRun, this.publicPort);
  }

  protected endIncarnation(current: FakeService): void {
    current.close();
  }
}
