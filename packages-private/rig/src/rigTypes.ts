import type {Entry, PlainAnswer} from '@lilacledge/entry';
import type {LinkAddress} from '@lilacledge/protocol';
import type {Sidecar} from '@lilacledge/sidecar';
import type {EngineModel, PlainModel} from '@lilacledge/standins';
import type {Logger} from '@lilacledge/telemetry';
import type {Caller} from './caller.js';
import type {PlainFaults} from './memoryPlain.js';
import type {PausableClock} from './pausableClock.js';

export interface RigOptions {
  readonly seed?: number;
  readonly logger?: Logger;
  readonly linksPerService?: number;
}

export interface RigProcess {
  readonly instanceId: string;
  readonly clock: PausableClock;
  readonly address: LinkAddress;
}

export interface RigEntry extends RigProcess {
  readonly entry: Entry;
  readonly connectedCallers: Set<Caller>;
}

export interface RigSidecar extends RigProcess {
  readonly service: string;
  readonly zone: string;
  sidecar: Sidecar;
  readonly engine: EngineModel | undefined;
  readonly plain: PlainModel | undefined;
  readonly plainFaults: PlainFaults;
  readonly extraSettings: Readonly<Record<string, unknown>>;
}

export interface CallOptions {
  readonly organisation?: string;
  readonly service?: string;
  readonly key?: string;
  readonly body?: string;
  readonly method?: string;
}

/** A call to a plain service, and the answers that its caller received. */
export interface PlainCaller {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  answers: PlainAnswer[];
}
