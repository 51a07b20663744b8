/** Class of a route where the engines of its service serve urgent requests first. */
export const EngineClass = {
  /** Its generations go before those of routes that can wait. */
  URGENT: 'urgent',
  /** Its latency goal leaves time to wait for urgent generations. */
  CAN_WAIT: 'canWait',
} as const;
export type EngineClass = (typeof EngineClass)[keyof typeof EngineClass];

/** A streaming route of a service. */
export interface OrderedRoute {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Target time to the first event. */
  readonly latencyGoalMs: number;
}

/**
 * A route can wait if its latency goal is at least this many times that of a more urgent
 * route: half of the goal is then left after waiting for as long as the urgent route may take.
 */
const MIN_GOAL_RATIO = 2;

/** Engines count a request without a priority as this one. */
const DEFAULT_PRIORITY = 5;

/** First and last priority of urgent routes; all are before `DEFAULT_PRIORITY`. */
const URGENT_PRIORITY = 3;
const LAST_URGENT_PRIORITY = 4;

/** Last priority of routes that can wait; ranks of organisations above 2 share it. */
const LAST_WAITING_PRIORITY = 7;

/** Keeps the factor finite when urgent prompts alone occupy the engines. */
const MAX_BUSY_SHARE = 0.9;

/**
 * Returns the class of each streaming route of one service, by name. Empty where no route can
 * wait: engines then serve the service's requests in their usual order. A route that neither
 * can wait nor is more urgent than one that can has no class.
 */
export function orderRoutes(
  routes: readonly OrderedRoute[],
): ReadonlyMap<string, EngineClass> {
  const waiting = routes.filter((route) => canWait(route, routes));
  const classes = new Map<string, EngineClass>();
  for (const {name} of waiting) classes.set(name, EngineClass.CAN_WAIT);
  for (const {name, rank} of routes) {
    if (classes.has(name) || !waiting.some((other) => other.rank > rank)) {
      continue;
    }
    classes.set(name, EngineClass.URGENT);
  }
  return classes;
}

/** The priority with which a generation is sent to an engine, 0 first. */
export function enginePriority(
  engineClass: EngineClass,
  organisationRank: number,
): number {
  // Engines read whole numbers only.
  const rank = Math.floor(organisationRank);
  switch (engineClass) {
    case EngineClass.URGENT:
      return Math.min(LAST_URGENT_PRIORITY, URGENT_PRIORITY + rank);
    case EngineClass.CAN_WAIT:
      return Math.min(LAST_WAITING_PRIORITY, DEFAULT_PRIORITY + rank);
  }
}

/** True if engines serve a request with this priority before those without one. */
export function isUrgentAtEngine(priority: number | undefined): boolean {
  return (priority ?? DEFAULT_PRIORITY) < DEFAULT_PRIORITY;
}

/**
 * Factor by which the wait in an engine's queue is longer for a generation that can wait, since
 * urgent prompts that arrive meanwhile go first. `urgentBusyShare` is the share of its time that
 * the engine prefills urgent prompts: each wait lets in that share of itself again.
 */
export function overtakenFactor(urgentBusyShare: number): number {
  return 1 / (1 - Math.min(MAX_BUSY_SHARE, urgentBusyShare));
}

function canWait(
  {rank, latencyGoalMs}: OrderedRoute,
  routes: readonly OrderedRoute[],
): boolean {
  return routes.some(
    (other) =>
      other.rank < rank &&
      latencyGoalMs >= other.latencyGoalMs * MIN_GOAL_RATIO,
  );
}
