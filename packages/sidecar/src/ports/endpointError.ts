import type {Verdict} from '@lilacledge/shared';

/** An endpoint that refused, could not be reached or broke off. */
export class EndpointError extends Error {
  constructor(
    readonly verdict: Verdict,
    detail: string,
  ) {
    super(detail);
    this.name = 'EndpointError';
  }
}
