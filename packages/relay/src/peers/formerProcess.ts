import {describeStoreFailure} from '../config/storeReads.js';
import type {Logger} from '../log/boundedLog.js';
import type {MetadataStore} from '../ports.js';

/** What a process that starts can know of the end of the one before it. */
export const FormerEnd = {
  /** Its registration is still there: it was killed, or failed, within the time of its lease. */
  WITHOUT_LEAVING: 'withoutLeaving',
  /** It left, or its lease has ended since, or there was none. */
  UNREGISTERED: 'unregistered',
  /** The store didn't answer. */
  UNKNOWN: 'unknown',
} as const;
export type FormerEnd = (typeof FormerEnd)[keyof typeof FormerEnd];

/**
 * Logs how the former process of an instance ended. Must run before the instance registers, which
 * replaces the registration of the former process under `key`.
 */
export async function logFormerProcess(
  key: string,
  store: MetadataStore,
  log: Logger,
): Promise<void> {
  const reply = await store.list(key);
  if (reply.kind !== 'ok') {
    const cause = describeStoreFailure(reply);
    log.info('process.former', {ended: FormerEnd.UNKNOWN, cause});
    return;
  }
  const former = reply.value.items.find((item) => item.key === key);
  if (former === undefined) {
    log.info('process.former', {ended: FormerEnd.UNREGISTERED});
    return;
  }
  log.warn('process.former', {
    ended: FormerEnd.WITHOUT_LEAVING,
    registration: former.value.toString('utf8'),
    revision: former.revision,
  });
}
