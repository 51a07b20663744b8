import type {ActiveConfig} from '../config/activeConfig.js';
import {BalanceAsks} from '../evacuation/balanceAsks.js';
import {BalanceOutlook} from '../evacuation/balanceOutlook.js';
import {Evacuator} from '../evacuation/evacuator.js';
import type {EngineTraits} from '../model/index.js';
import type {EntryPeers} from '../peers/entryPeers.js';
import type {RelayContext} from '../requests/relayContext.js';

/** What moves the runs of an entry to other engines. */
export interface RunMoves {
  readonly evacuator: Evacuator;
  readonly balance: BalanceAsks;
}

/** Creates what moves the runs of an entry; `peers` returns its links, which use it in turn. */
export function createRunMoves(
  context: RelayContext,
  config: ActiveConfig,
  peers: () => EntryPeers,
): RunMoves {
  const {clock, log} = context;
  const traitsOf = (service: string): EngineTraits | undefined =>
    config.current?.findService(service)?.engine;
  const evacuator: Evacuator = new Evacuator(
    context,
    traitsOf,
    (endpoint) => peers().hasSidecar(endpoint),
    {
      reserve: (endpoint, id, tokens) =>
        peers().copyReservations.reserve(endpoint, id, tokens),
      release: (endpoint, id) => peers().copyReservations.release(endpoint, id),
    },
  );
  const outlook = new BalanceOutlook(context, traitsOf);
  const balance = new BalanceAsks({
    clock,
    log,
    gainingRuns: (isExcluded) => outlook.gainingRuns(isExcluded),
    send: (endpoint, ask) => peers().sendToSidecar(endpoint, ask),
    move: (id) => evacuator.moveForBalance(id, (run) => outlook.rulesFor(run)),
  });
  return {evacuator, balance};
}
