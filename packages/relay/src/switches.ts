import {parse, printParseErrorCode} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';

/**
 * Mechanisms of decisions that can be switched off, one by one, to see what each is
 * worth on a deployment; with what each of them does.
 */
export const MECHANISMS = {
  runMoves: 'Runs of an engine that leaves go on at another one.',
  roomForLeaving:
    'New generations leave room for runs that are still at leaving engines.',
  organisationRanks: 'More urgent organisations may fill engines further.',
  routeRanks: 'More urgent routes may fill engines further.',
  doubts:
    'An endpoint that fails or falls silent gets work only if no other can.',
  toldDoubts: 'Doubts in endpoints are told to other entries.',
  overtakingReads:
    'A read that takes longer than usual is sent to a second endpoint.',
  waitForRoom: 'A generation waits for room that is forecast to come in time.',
  waitForEndpoints:
    'A request waits for endpoints that are registering themselves again.',
  farLinks: 'Entries of large fleets link to some sidecars of other zones.',
  freshLook: 'Engines are asked for their load before a prompt is sent to one.',
  spreadReturns: 'Times at which refused callers return are spread.',
  zoneLoads: 'Loads of engines are told to entries of other zones.',
  retrySlack: 'Entries use their parts of the free sends to second endpoints.',
  learnedPace: 'How fast engines work is learned from their answers.',
  warmUp: 'An endpoint that says it is still slow gets less work.',
} as const;
export type Mechanism = keyof typeof MECHANISMS;

/** Which mechanisms are in use. */
export type Switches = Readonly<Record<Mechanism, boolean>>;

const NAMES = Object.keys(MECHANISMS) as Mechanism[];

/** As all deployments run. */
export const ALL_ON: Switches = withAllOn({});

/** A switch that is not one, or has no value that one can have. */
export class SwitchError extends Error {
  override readonly name = 'SwitchError';
}

/** Parses switches, JSON with comments; those that are missing are on. */
export function parseSwitches(text: string): Switches {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const [first] = errors;
  if (first !== undefined) {
    throw new SwitchError(printParseErrorCode(first.error));
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SwitchError('the switches are not an object');
  }
  for (const [name, state] of Object.entries(value)) checkSwitch(name, state);
  return withAllOn(value);
}

/** Names of those that are off, for the log. */
export function switchedOff(switches: Switches): string[] {
  return NAMES.filter((name) => !switches[name]);
}

function checkSwitch(name: string, state: unknown): void {
  if (!Object.hasOwn(MECHANISMS, name)) {
    throw new SwitchError(`${name} is no switch; use ${NAMES.join(', ')}`);
  }
  if (typeof state === 'boolean') return;
  throw new SwitchError(
    `${name} is ${JSON.stringify(state)}; use true or false`,
  );
}

function withAllOn(given: Partial<Switches>): Switches {
  const on = Object.fromEntries(NAMES.map((name) => [name, true]));
  return {...(on as Record<Mechanism, boolean>), ...given};
}
