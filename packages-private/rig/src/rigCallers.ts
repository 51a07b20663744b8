import type {Entry} from '@lilacledge/entry';
import {formatEventId} from '@lilacledge/protocol';
import {toMintedKey} from '@lilacledge/shared';
import type {Random, VirtualClock} from '@lilacledge/shared';
import type {GenerateOptions} from './askOptions.js';
import {buildPrompt, createCaller, recordEvent} from './caller.js';
import type {Caller} from './caller.js';
import {rigApiKey} from './rigConfig.js';
import type {CallOptions, PlainCaller, RigEntry} from './rigTypes.js';

/** Sends requests to the entries of a rig and records what their callers receive. */
export class RigCallers {
  readonly callers: Caller[] = [];
  readonly plainCallers: PlainCaller[] = [];
  private requests = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly entries: ReadonlyMap<string, RigEntry>,
  ) {}

  /** Requests a generation at an entry. */
  generate(entryId: string, options: GenerateOptions): Caller {
    const target = this.entries.get(entryId)!;
    const requestId = `request-${++this.requests}`;
    const organisation = options.organisation ?? 'clark-yard';
    const outputTokens = options.outputTokens ?? 20;
    const prompt = buildPrompt(requestId, outputTokens, options);
    const model = options.model ?? 'drafting-1';
    const directory = target.entry.directory!;
    const route = directory
      .models(organisation)
      .find((candidate) => candidate.model === model)!;
    const abortController = new AbortController();
    const maxTokens = options.maxTokens ?? 32_768;
    const caller = createCaller({
      requestId,
      organisation,
      prompt,
      expectedTokens: Math.min(outputTokens, maxTokens),
      arrivedMs: this.clock.nowMs(),
      disconnect: () => abortController.abort(),
    });
    this.callers.push(caller);
    const events = target.entry.generate(
      {
        requestId,
        organisation: directory.byApiKey(rigApiKey(organisation))!,
        route,
        prompt,
        maxTokens,
        maxQueueMs: options.maxQueueMs ?? route.service.policy.maxQueueMs,
        isResumable: true,
        traceparent: '',
      },
      abortController.signal,
    );
    void this.recordEvents(target, caller, events);
    return caller;
  }

  /** Resumes a caller's stream after the last event that it received. */
  resume(entryId: string, caller: Caller): void {
    const target = this.entries.get(entryId)!;
    const abortController = new AbortController();
    caller.disconnect = () => abortController.abort();
    caller.end = {kind: 'open'};
    const directory = target.entry.directory!;
    const events = target.entry.resume(
      {
        requestId: caller.requestId,
        organisation: directory.byApiKey(rigApiKey(caller.organisation))!,
        eventId: formatEventId(caller.streamTag, caller.texts.length),
        traceparent: '',
      },
      abortController.signal,
    );
    void this.recordEvents(target, caller, events);
  }

  /** Calls a plain service through an entry; by default it posts a booking. */
  call(entryId: string, options: CallOptions): PlainCaller {
    const {entry} = this.entries.get(entryId)!;
    const requestId = `request-${++this.requests}`;
    const key = options.key ?? this.mintKey(0);
    const organisation = options.organisation ?? 'clark-yard';
    const directory = entry.directory!;
    const body = options.body ?? JSON.stringify({key});
    const caller: PlainCaller = {requestId, key, body, answers: []};
    this.plainCallers.push(caller);
    const method = options.method ?? 'POST';
    void entry
      .call({
        requestId,
        organisation: directory.byApiKey(rigApiKey(organisation))!,
        route: directory.plainService(
          organisation,
          options.service ?? 'booking-api',
        )!,
        method,
        path: '/bookings',
        contentType: 'application/json',
        body: method === 'GET' ? new Uint8Array() : Buffer.from(body),
        key: method === 'GET' ? '' : key,
        traceparent: '',
      })
      .then((answer) => {
        if (this.entries.get(entryId)?.entry === entry) {
          caller.answers.push(answer);
        }
      });
    return caller;
  }

  mintKey(offsetMs: number): string {
    const bytes = Uint8Array.from({length: 10}, () => this.random() * 256);
    return toMintedKey(this.clock.wallMs() + offsetMs, bytes);
  }

  private async recordEvents(
    target: RigEntry,
    caller: Caller,
    events: ReturnType<Entry['generate']>,
  ): Promise<void> {
    target.connectedCallers.add(caller);
    for await (const event of events) {
      if (caller.end.kind === 'cut') break;
      recordEvent(caller, event, this.clock.nowMs());
    }
    target.connectedCallers.delete(caller);
  }
}
