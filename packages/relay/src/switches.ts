import {parse, printParseErrorCode} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';

/**
 * Decision mechanisms, with a description of each. Each can be switched off by itself, to
 * measure its effect on a deployment.
 */
export const MECHANISMS = {
  runMoves: 'Runs of a leaving engine continue at another engine.',
  roomForLeaving:
    'New generations leave room for runs that are still at leaving engines.',
  organisationRanks: 'More urgent organisations may fill engines further.',
  routeRanks: 'More urgent routes may fill engines further.',
  doubts:
    'An endpoint that fails or does not respond gets requests only if no other can.',
  toldDoubts: 'Entries report doubts in endpoints to each other.',
  overtakingReads:
    'A read that takes longer than usual is also sent to a second endpoint.',
  waitForRoom: 'A generation waits for room that is forecast to come in time.',
  waitForEndpoints:
    'A request waits for endpoints that are registering themselves again.',
  farLinks: 'Entries of large fleets link to some sidecars of other zones.',
  freshLook:
    'Entries query the load of engines before they send a prompt to one.',
  spreadReturns: 'The retry times given to refused callers are spread.',
  zoneLoads: 'Entries report engine loads to entries of other zones.',
  retrySlack:
    'Entries use their shares of the retries that are allowed beyond the ratio.',
  learnedPace: 'The speed of engines is learned from their answers.',
  engineSpeeds:
    'The speed of each engine counts in forecasts and in the choice of one.',
  engineOrder: 'Engines serve urgent routes before routes that can wait.',
  balanceMoves:
    'Runs at engines that are too slow for them continue at other engines.',
  warmUp:
    'An endpoint that announces that it is warming up gets fewer requests.',
  slowReaders:
    'An entry reads on from an engine while the caller of its answer reads slowly.',
  organisationShares:
    'In a shortage, organisations below their fair share get room first.',
  sharedReturns:
    'The retry times of all entries together fill the room that becomes free.',
  connectionLimits:
    'An entry that is saturated closes new connections before it reads them.',
} as const;
export type Mechanism = keyof typeof MECHANISMS;

/** Whether each mechanism is on. */
export type Switches = Readonly<Record<Mechanism, boolean>>;

const MECHANISM_NAMES = Object.keys(MECHANISMS) as Mechanism[];

/** The default, with which all deployments run. */
export const ALL_ON: Switches = withDefaults({});

/** Thrown for an unknown switch, an invalid value or a malformed file. */
export class SwitchError extends Error {
  override readonly name = 'SwitchError';
}

/** Parses switches from JSON with comments; missing switches are on. */
export function parseSwitches(text: string): Switches {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const [first] = errors;
  if (first !== undefined) {
    throw new SwitchError(printParseErrorCode(first.error));
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SwitchError('the switches are not a JSON object');
  }
  for (const [name, state] of Object.entries(value)) checkSwitch(name, state);
  return withDefaults(value);
}

/** Returns the names of the switches that are off, for the log. */
export function switchedOff(switches: Switches): string[] {
  return MECHANISM_NAMES.filter((name) => !switches[name]);
}

function checkSwitch(name: string, state: unknown): void {
  if (!Object.hasOwn(MECHANISMS, name)) {
    throw new SwitchError(
      `unknown switch ${name}; use ${MECHANISM_NAMES.join(', ')}`,
    );
  }
  if (typeof state === 'boolean') return;
  throw new SwitchError(
    `${name} is ${JSON.stringify(state)}; use true or false`,
  );
}

function withDefaults(given: Partial<Switches>): Switches {
  const on = Object.fromEntries(MECHANISM_NAMES.map((name) => [name, true]));
  return {...(on as Record<Mechanism, boolean>), ...given};
}
