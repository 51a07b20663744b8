import type {PolicySettings} from '@lilacledge/config';

/** A policy to compare, as changes to the default settings of a service. */
export interface NamedPolicy {
  readonly name: string;
  readonly kind: 'product' | 'baseline' | 'ablation';
  readonly policy: Partial<PolicySettings>;
}

const FREE_FIFO = {admission: 'free', queue: 'firstInFirstOut'} as const;

/** The policies that are compared on the same trace. */
export const POLICIES: readonly NamedPolicy[] = [
  {name: 'lilacledge', kind: 'product', policy: {}},
  {
    name: 'round-robin',
    kind: 'baseline',
    policy: {...FREE_FIFO, route: 'roundRobin'},
  },
  {
    name: 'least-outstanding',
    kind: 'baseline',
    policy: {...FREE_FIFO, route: 'leastOutstanding'},
  },
  {
    name: 'two-choices',
    kind: 'baseline',
    policy: {...FREE_FIFO, route: 'twoChoices'},
  },
  {
    name: 'without-admission',
    kind: 'ablation',
    policy: {admission: 'free'},
  },
  {
    name: 'reserve-maximum',
    kind: 'ablation',
    policy: {admission: 'reserveMaximum'},
  },
  {
    name: 'fixed-reserve',
    kind: 'ablation',
    policy: {admission: 'fixedReserve'},
  },
  {
    name: 'without-order',
    kind: 'ablation',
    policy: {queue: 'firstInFirstOut'},
  },
  {
    name: 'without-prediction',
    kind: 'ablation',
    policy: {route: 'leastOutstanding'},
  },
];
