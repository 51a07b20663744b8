import type {Verdict} from '@lilacledge/shared';

/** The endpoint refused, could not be reached, or closed the exchange early. */
export class EndpointError extends Error {
  constructor(
    readonly verdict: Verdict,
    detail: string,
  ) {
    super(detail);
    this.name = 'EndpointError';
  }
}
